"""The process of a gateway instance: listeners, connections to servers, messages between limiters, and the
periodic work.

This is the only package that uses sockets, disks and clocks. It leaves all decisions to the other packages.
"""
