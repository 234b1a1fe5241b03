"""The merged configuration as the request path uses it."""

import hashlib
import hmac

import attrs

TOKEN_PREFIX = "cf"


@attrs.frozen
class ClientAccount:
    """A tenant with its share of the fleet.

    Attributes:
        id: Name of the account.
        rate: Admitted requests per second over the whole fleet.
        burst: Requests that may be admitted at once.
        weight: Share of a contended queue relative to other accounts.
    """

    id: str
    rate: float
    burst: float
    weight: float = 1.0


@attrs.frozen
class Key:
    """A caller's key, known only by the SHA-256 digest of its secret."""

    id: str
    account: str
    digest: bytes


@attrs.frozen
class Service:
    """A group of interchangeable targets.

    Attributes:
        name: Name of the service.
        floor: Fraction of the announced slots that ejection must leave.
    """

    name: str
    floor: float = 0.5


@attrs.frozen
class Route:
    """A rule that maps requests to a service.

    Attributes:
        id: Name of the route.
        prefix: Path prefix; the longest matching prefix wins.
        methods: Accepted methods; empty means all.
        service: Service that runs the requests.
        open: Whether requests need no key.
        repeatable: Whether a request may run more than once.
        timeout: Seconds until the answer must be complete.
    """

    id: str
    prefix: str
    service: str
    methods: frozenset[str] = frozenset()
    open: bool = False
    repeatable: bool = False
    timeout: float = 30.0


def parse_token(token: str) -> tuple[str, str] | None:
    """Splits `cf_<key id>_<secret>` into key id and secret."""
    parts = token.split("_", 2)
    if len(parts) != 3 or parts[0] != TOKEN_PREFIX:
        return None
    return parts[1], parts[2]


def secret_digest(secret: str) -> bytes:
    """Returns the digest under which a key's secret is stored."""
    return hashlib.sha256(secret.encode()).digest()


@attrs.frozen
class Configuration:
    """One accepted revision of the merged configuration."""

    revision: int = 0
    digest: bytes = b""
    accounts: dict[str, ClientAccount] = attrs.field(factory=dict)
    keys: dict[str, Key] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
    _by_prefix: dict[str, list[Route]] = attrs.field(
        init=False, eq=False, repr=False
    )

    @_by_prefix.default
    def _index_routes(self) -> dict[str, list[Route]]:
        index: dict[str, list[Route]] = {}
        for route in self.routes.values():
            index.setdefault(route.prefix.rstrip("/"), []).append(route)
        for routes in index.values():
            # Routes that name the method go before those that take all, so
            # that the choice does not depend on the order of the entries.
            routes.sort(key=lambda route: (not route.methods, route.id))
        return index

    def route_for(self, method: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that takes the method."""
        prefix = path.split("?", 1)[0].rstrip("/")
        while True:
            for route in self._by_prefix.get(prefix, ()):
                if not route.methods or method in route.methods:
                    return route
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]

    def account_for(self, token: str) -> ClientAccount | None:
        """Returns the account whose key the token carries, or None."""
        parsed = parse_token(token)
        if parsed is None:
            return None
        key = self.keys.get(parsed[0])
        if key is None:
            return None
        if not hmac.compare_digest(key.digest, secret_digest(parsed[1])):
            return None
        return self.accounts.get(key.account)
