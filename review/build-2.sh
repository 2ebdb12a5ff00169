#!/bin/sh
# Builds the stand-ins that the cases of the second review start: they run in
# the process of each case and need Python's standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common_2
