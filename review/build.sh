#!/usr/bin/env bash
# The stand-ins are plain Python without dependencies; this compiles them, so that a mistake shows here.
cd "$(dirname "$0")/.." || exit 1
PYTHONPYCACHEPREFIX=target/review-pycache exec python3 -m compileall -q -x '/target/' review
