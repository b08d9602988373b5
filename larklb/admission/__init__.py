"""Admission of requests: tenant quotas across all limiters, retry budgets and the selection of a server.

The modules of this package are deterministic state machines without input or output.  Events and the current
time (in milliseconds) are passed in as arguments; decisions and messages to send are returned.  No module
reads a clock, a socket or a file.
"""
