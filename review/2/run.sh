#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")/../.."
.venv/bin/python review/2/case.py &
case_pid=$!
trap 'kill -TERM $case_pid' TERM INT
wait $case_pid
code=$?
# A signal ends the first wait: wait until the case has ended its processes.
while kill -0 $case_pid 2>/dev/null; do
  wait $case_pid
  code=$?
done
case $code in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
