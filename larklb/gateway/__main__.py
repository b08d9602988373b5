"""Runs one limiter: ``python -m larklb.gateway``."""

import os
import signal
import sys

from larklb.gateway.startup_signals import HANDLED_SIGNALS

# The imports below take longer than a platform may wait before it signals a process that it has just started.
# Without a handler the signal would end the process; blocked, it waits for ``Limiter.run``.
signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

from larklb.gateway.main import main  # noqa: E402

if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    # A write that hangs on the disk must not keep the process from ending.
    os._exit(status)
