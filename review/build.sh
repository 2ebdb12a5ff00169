#!/bin/sh
# Checks that the stand-ins of the scripts can be loaded. They need nothing but
# the system's python3; the project itself is built as the deploy file says.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import harness.site"
