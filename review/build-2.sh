#!/bin/sh
# Compiles the stand-ins of cases 6 to 10, which need nothing but Python.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q lib-2
