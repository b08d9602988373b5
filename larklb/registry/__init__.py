"""Service registry: server instances under leases, and the tables from which limiters learn of them.

Core machines hold a replica of the registry and every limiter subscribes to one of them, its home.  The
package uses no socket, clock or disk, and it doesn't choose a server for a request.
"""
