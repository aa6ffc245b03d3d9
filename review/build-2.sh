#!/bin/sh
# Builds the stand-ins of the cases 6 to 9: plain Python without a library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins_2.py review/6 review/7 review/8 review/9
