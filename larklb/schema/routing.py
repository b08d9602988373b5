"""Which route a request takes, which service runs it, and whose key it carries."""

from larklb.schema.configuration import Configuration, Route, Tenant, targets

__all__ = ["Keys", "Routes", "service_of", "targets"]


def service_of(route: Route, chance: float) -> str:
    """The service for one request by the route's gains (above 0 only); `chance` in [0, 1).

    LookupError: nobody serves the route, which no checked configuration has.
    """
    shares = [share for share in route.distribution if share.gain > 0]
    if not shares:
        if route.target is None:
            raise LookupError(f"route {route.name} has no service")
        return route.target
    left = chance * sum(share.gain for share in shares)
    for share in shares:
        left -= share.gain
        if left < 0:
            return share.target
    # Rounding may leave a rest behind the last share.
    return shares[-1].target


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    # The colons of an address in brackets are no port's.
    return name if colon and (not port or port.isdecimal()) and not host.endswith("]") else host


class Routes:
    """The routes of a configuration, by host and prefix."""

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
        """The route of `host` (without port, in any case) with the longest prefix that begins `path`."""
        host = host.lower()
        found = self._hosts.get(_without_port(host)) or self._hosts.get(host)
        if found is None:
            return None
        longest, routes = found
        path = path.partition("?")[0]
        # From the longest prefix down: a path of thousands of slashes costs no more than the routes are deep.
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
    """Tenants by key. `needed`: whether the configuration has tenants, so that requests must carry a key."""

    __slots__ = ("_holders", "needed")

    def __init__(self, configuration: Configuration) -> None:
        self.needed = configuration.tenants is not None
        # An empty key would let in whoever sends an empty one.
        self._holders = {key: tenant for tenant in configuration.tenants or () for key in tenant.keys if key}

    def tenant(self, key: str) -> Tenant | None:
        """Who holds `key`, or None."""
        return self._holders.get(key)
