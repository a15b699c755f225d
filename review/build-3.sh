#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, which need Python 3.11 and nothing else.
cd "$(dirname "$0")/.." || exit 1
python3 -m py_compile review/standin3/world.py review/1[1-5]/case.py
