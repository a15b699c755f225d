#!/bin/sh
# Builds the stand-ins of the review's scripts, which use the standard library only.
cd "$(dirname "$0")" && exec python3 -m compileall -q standin
