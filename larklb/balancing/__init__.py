"""Capacity estimation and load balancing: what each server is seen to handle, and what it gets for that.

Owns the estimates, their exchange between limiters and the choice that follows from them; never reads a
clock, a socket or a file, and never takes a server's own word for more than it is seen to be worth.
"""
