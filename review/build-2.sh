#!/bin/sh
# Checks that the stand-ins of the cases of the second review can be loaded. They
# run in the process of each case and need Python's standard library only.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import common_2.site"
