"""The signals that a limiter handles, which are blocked until their handlers are set.

This module is imported before all others of the process and must import nothing that takes long.
"""

import signal

HANDLED_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
