#!/bin/sh
# Exits with 1 when FLOW was broken, 0 when it held, 2 when it couldn't run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
