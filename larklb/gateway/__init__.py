"""The process: fronts, connections to servers, links between limiters, the loop (gateway: the gate water
passes).

The only package that sees sockets, disks and clocks; it must never decide what another package decides.
"""
