#!/bin/sh
# Exit status 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0: without the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
python3 review/9/run.py "$@"
case $? in
0) exit 0 ;;
10) exit 1 ;; # Python itself ends with 1 if a script fails
*) exit 2 ;;
esac
