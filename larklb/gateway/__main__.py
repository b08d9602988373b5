"""Runs one limiter: ``python -m larklb.gateway``."""

import os
import sys

from larklb.gateway.main import main

if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    # A write that hangs on the disk must not keep the process from ending.
    os._exit(status)
