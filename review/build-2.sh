#!/bin/sh
# Builds what the scripts of review/4 to review/6 start besides the limiters. Their stand-ins are Python, in
# review/rig2.py and beside each script, so that this compiles them, and leaves no bytecode in review/. Run it after
# the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -m compileall -q larklb || exit 2
PYTHONPATH=target/deps exec python3 -B -c '
import pathlib
for name in ("rig2.py", "4/case.py", "5/case.py", "6/case.py"):
    path = pathlib.Path("review") / name
    compile(path.read_bytes(), str(path), "exec")
'
