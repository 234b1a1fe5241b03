"""The merged configuration as the request path uses it."""

import hashlib
import hmac
from collections.abc import Iterable

import attrs

TOKEN_PREFIX = "cf"
# Targets that get one request unless the route says otherwise.
MAX_ATTEMPTS = 4


@attrs.frozen
class ClientAccount:
    """A tenant with its share of the fleet.

    Attributes:
        id: Name of the account.
        rate: Admitted requests per second over the whole fleet; 0 for no
            limit.
        burst: Requests that may be admitted at once.
        weight: Share of a contended queue relative to other accounts.
        priority: Rank of its requests in place of the route's, 0 highest;
            None leaves the route's.
    """

    id: str
    rate: float
    burst: float
    weight: float = 1.0
    priority: int | None = None


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
class Share:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


def _shares(values: Iterable[Share]) -> tuple[Share, ...]:
    # Codecs of stored parts turn tuples into lists.
    return tuple(values)


@attrs.frozen
class CallerLimits:
    """What a caller's connection may send, and how long it may take.

    Attributes:
        head_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        head_seconds: Time for a head to arrive.
        idle_seconds: Time without a request after which a connection closes.
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


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
        host: Host that the route serves; empty for all hosts.
        attempts: Targets that may get one request.
        objective: Seconds within which callers want the answer; 0 if the
            operators name none.
        priority: Rank in a queue, 0 highest.
        split: Services that share the requests by weight, in place of
            `service`.
    """

    id: str
    prefix: str
    service: str
    methods: frozenset[str] = frozenset()
    open: bool = False
    repeatable: bool = False
    timeout: float = 30.0
    host: str = ""
    attempts: int = MAX_ATTEMPTS
    objective: float = 0.0
    priority: int = 0
    split: tuple[Share, ...] = attrs.field(default=(), converter=_shares)

    def serves(self, service: str) -> bool:
        """Returns whether the route may send requests to a service."""
        if not self.split:
            return service == self.service
        return any(
            share.service == service and share.weight > 0
            for share in self.split
        )


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
    """One accepted revision of the merged configuration.

    Attributes:
        revision: Number that grows with each accepted change.
        digest: Hash of the content.
        accounts: Client accounts by id.
        keys: Keys of the product's own form by id.
        services: Services by name.
        routes: Routes by id.
        opaque_keys: Account ids by the SHA-256 digest of a key that has no
            form of its own.
        limits: Limits of callers' connections, or None for the usual ones.
    """

    revision: int = 0
    digest: bytes = b""
    accounts: dict[str, ClientAccount] = attrs.field(factory=dict)
    keys: dict[str, Key] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
    opaque_keys: dict[bytes, str] = attrs.field(factory=dict, repr=False)
    limits: CallerLimits | None = None
    _by_prefix: dict[tuple[str, str], list[Route]] = attrs.field(
        init=False, eq=False, repr=False
    )

    @_by_prefix.default
    def _index_routes(self) -> dict[tuple[str, str], list[Route]]:
        index: dict[tuple[str, str], list[Route]] = {}
        for route in self.routes.values():
            index_key = route.host, route.prefix.rstrip("/")
            index.setdefault(index_key, []).append(route)
        for routes in index.values():
            # Routes that name the method go before those that take all, so
            # that the choice does not depend on the order of the entries.
            routes.sort(key=lambda route: (not route.methods, route.id))
        return index

    def route_for(self, method: str, path: str, host: str = "") -> Route | None:
        """Returns the route with the longest prefix that takes the method.

        Routes of the host go before those of all hosts.
        """
        found = self._match_route(host, method, path) if host else None
        return found or self._match_route("", method, path)

    def _match_route(self, host: str, method: str, path: str) -> Route | None:
        path = path.split("?", 1)[0]
        prefix = path.rstrip("/")
        if host and not path.endswith("/"):
            # A prefix of a host ends with a slash, so the path must have it.
            prefix = prefix.rpartition("/")[0]
        while True:
            for route in self._by_prefix.get((host, prefix), ()):
                if not route.methods or method in route.methods:
                    return route
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]

    def account_for(self, token: str) -> ClientAccount | None:
        """Returns the account whose key the token carries, or None."""
        if self.opaque_keys:
            # Digests are compared, so timing tells nothing about a key.
            return self.accounts.get(
                self.opaque_keys.get(secret_digest(token), "")
            )
        parsed = parse_token(token)
        if parsed is None:
            return None
        key = self.keys.get(parsed[0])
        if key is None:
            return None
        if not hmac.compare_digest(key.digest, secret_digest(parsed[1])):
            return None
        return self.accounts.get(key.account)
