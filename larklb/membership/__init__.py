"""Membership: which limiters there are, under leases (membership: the pumping membership of the works).

It owns lives of limiters, their ring numbers and the order in which duties fall to them; it must never touch
a socket, a clock or a disk, and never speaks of servers or configurations.
"""
