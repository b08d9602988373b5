"""Decisions that limiters reach together: message pacing, server subsets, findings, leases, custody, zones.

The modules are deterministic: events and the current time are arguments, and decisions are return values.
None of them reads a clock, a socket or a file.
"""
