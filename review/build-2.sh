#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start: they are
# the project's own ones in Python, which need no build. Checks that they load.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.dont_write_bytecode = True; sys.path.insert(0, "review"); import kit2, links'
test -x target/bin/marjorambayd || echo "target/bin/marjorambayd is missing: build it with the command of deploy/system.toml" >&2
