"""Membership: the limiters of the system, under leases.

It holds the incarnations of limiters, their ring numbers and each limiter's preference order of core
machines.  The package uses no socket, clock or disk, and it knows nothing of servers and configurations.
"""
