"""``python -m larklb.gateway``: one limiter of the system."""

import os
import sys

from larklb.gateway.main import main

if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)  # a write that hangs on the disk must not hold the process
