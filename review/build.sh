#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python without any package, so
# that this only checks that each loads with the Python of the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c '
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
sys.path.insert(0, "review")
import harness'
for Script in review/[1-5]/case.py; do
  [ -e "$Script" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$Script"
done
