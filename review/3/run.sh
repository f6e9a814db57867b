#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
python3 -B case.py
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
