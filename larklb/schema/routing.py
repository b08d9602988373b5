"""Lookup of the route of a request, selection of its service, and lookup of the tenant by key."""

from larklb.schema.configuration import Configuration, Route, Tenant, targets
from larklb.schema.header_text import received_forms

__all__ = ["Keys", "Routes", "service_of", "targets"]


def service_of(route: Route, fraction: float) -> str:
    """Select the service for one request, in proportion to the route's positive gains.

    `fraction`, uniformly distributed in [0, 1), selects a point on the sum of gains. Raises LookupError if no
    service serves the route, which can't happen in a checked configuration.
    """
    shares = [share for share in route.distribution if share.gain > 0]
    if not shares:
        if route.target is None:
            raise LookupError(f"route {route.name} has no service")
        return route.target
    # Relative to the largest gain, so that the sum of very large ones is finite.
    largest = max(share.gain for share in shares)
    remaining = fraction * sum(share.gain / largest for share in shares)
    for share in shares:
        remaining -= share.gain / largest
        if remaining < 0:
            return share.target
    # Rounding errors may leave a positive remainder after the last share.
    return shares[-1].target


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    # The colons inside a bracketed IPv6 address don't separate a port.
    return name if colon and (not port or port.isdecimal()) and not host.endswith("]") else host


class Routes:
    """The routes of a configuration, indexed by host and prefix."""

    __slots__ = ("_hosts",)

    def __init__(self, configuration: Configuration) -> None:
        self._hosts: dict[str, tuple[int, dict[str, Route]]] = {}
        for host in configuration.hosts:
            name = host.host.lower()
            longest, routes = self._hosts.get(name, (0, {}))
            for route in host.paths:
                routes[route.prefix] = route
                longest = max(longest, len(route.prefix))
            self._hosts[name] = (longest, routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None if there is none.

        Case and port of `host` are ignored, and so is the query of `path`.
        """
        host = host.lower()
        entry = self._hosts.get(_without_port(host)) or self._hosts.get(host)
        if entry is None:
            return None
        longest, routes = entry
        path = path.partition("?")[0]
        # Prefixes are tried from the longest configured length downwards, so that the cost for a path with
        # thousands of slashes is bounded by the length of the configured prefixes.
        end = path.rfind("/", 0, longest)
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    service_of = staticmethod(service_of)
    targets = staticmethod(targets)


class Keys:
    """The tenants of a configuration, indexed by key.

    `needed` is True if the configuration has a list of tenants, in which case requests must carry a key.
    """

    __slots__ = ("_tenants", "needed")

    def __init__(self, configuration: Configuration) -> None:
        self.needed = configuration.tenants is not None
        # An empty key would admit any client that sends an empty one.
        self._tenants = {
            form: tenant
            for tenant in configuration.tenants or ()
            for key in tenant.keys
            for form in received_forms(key)
            if form
        }

    def tenant(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key, as received in a header and decoded as Latin-1, or None."""
        return self._tenants.get(key)
