#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python review/2/case.py &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null; wait "$case_pid"; exit 2' HUP INT TERM
wait "$case_pid"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
