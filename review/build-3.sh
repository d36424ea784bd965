#!/bin/sh
# Compiles the stand-ins of the cases 11 to 15. They use the standard library
# alone; the project's programs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/lib-3/*.py review/1[1-5]/*.py
test -f target/deps/pistachiohook_platform/__main__.py
