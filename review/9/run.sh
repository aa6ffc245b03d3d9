#!/bin/sh
# Plays the case with its disruption, or without it if TROUBLE is 0.  Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/9/case.py
