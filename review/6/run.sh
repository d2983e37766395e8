#!/bin/sh
# Exit status 1: a rule was broken; 0: both held; 2: the case could not run.
# TROUBLE=0: without the disruption. See claim.txt. Two fleets of their own beside
# each other: run.py (Gate) and two_arbiters.py (LIMIT).
cd "$(dirname "$0")/../.." || exit 2
python3 review/6/run.py "$@" &
lost=$!
trap 'kill $lost $two 2>/dev/null; wait; exit 2' TERM INT HUP
sleep 1
python3 review/6/two_arbiters.py beside &
two=$!
wait $lost
lost_status=$?
wait $two
two_status=$?
case "$lost_status $two_status" in # Python itself ends with 1 if a script fails
"0 0") exit 0 ;;
"10 0" | "0 10" | "10 10") exit 1 ;;
*) exit 2 ;;
esac
