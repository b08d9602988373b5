"""larklb: a quota-keeping limiter on real sockets."""

__version__ = "0.2.0"
