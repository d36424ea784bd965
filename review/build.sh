#!/bin/sh
# The stand-ins are plain Python for the standard library; compiled for speed.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
