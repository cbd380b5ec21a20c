#!/usr/bin/env bash
# Builds the stand-ins of the second review: compiles them, which also shows that they can be read.
# They need nothing but the standard library of Python 3.11; everything made goes under target/.
set -eu
cd "$(dirname "$0")/.."
python3 -X pycache_prefix="$PWD/target/pycache" -m compileall -q review/rig2 review/[4-8]
