"""Capacity estimation and load balancing: estimates each server's capacity and chooses servers by it.

The package owns the capacity estimates, their exchange between limiters and the choice of a server that
follows from them.  It never reads a clock, a socket or a file, and never trusts a server's own report of
its load beyond what the observed answers support.
"""
