#!/bin/sh
# Builds all that the scripts of review/4 to review/6 start besides the limiters: their stand-ins are Python, in
# review/rig2.py and beside each script, and use one module of the project. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps exec python3 -m compileall -q larklb review/rig2.py review/4 review/5 review/6
