"""Admission and balancing: a tenant's quota over all limiters, the budget of further tries, the choice of
server.

Events in, decisions and words to send out, time as an argument in milliseconds; nothing here reads a clock,
a socket or a file.
"""
