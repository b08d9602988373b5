"""Registry of servers, homes and subscriptions (registry: where the water leaves the works).

It owns lives of servers under leases and the tables by which limiters learn of them; it must never touch a
socket, a clock or a disk, and never chooses a server for a request.
"""
