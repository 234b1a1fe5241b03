"""Data model of the merged configuration, as used on the request path."""

import hashlib
import hmac
from collections.abc import Iterable

import attrs

TOKEN_PREFIX = "cf"
# Default limit on the targets that one request is sent to.
MAX_ATTEMPTS = 4


def _area_names(values: Iterable[str]) -> tuple[str, ...]:
    # Tuples become lists when a stored part is decoded from JSON.
    return tuple(values)


@attrs.frozen
class ClientAccount:
    """A tenant and its rate limit over the whole fleet.

    Attributes:
        id: Name of the account.
        rate: Admitted requests per second over the whole fleet; 0 for no
            limit.
        burst: Number of requests that may be admitted at once.
        weight: Weight in a contended queue relative to other accounts.
        priority: Priority that overrides the route's, 0 is the highest; None
            keeps the route's priority.
        areas: Areas in which its requests may run; empty for any.
    """

    id: str
    rate: float
    burst: float
    weight: float = 1.0
    priority: int | None = None
    areas: tuple[str, ...] = attrs.field(default=(), converter=_area_names)


@attrs.frozen
class Key:
    """A caller's key; only the SHA-256 digest of its secret is stored."""

    id: str
    account: str
    digest: bytes


@attrs.frozen
class Service:
    """A group of interchangeable targets.

    Attributes:
        name: Name of the service.
        floor: Minimum fraction of the announced slots that ejection must
            leave available.
        cold_rate: Requests per second that a cold target bears; 0 for no
            limit.
        cold_seconds: Time for which a target is cold after its start.
    """

    name: str
    floor: float = 0.5
    cold_rate: float = 0.0
    cold_seconds: float = 0.0


@attrs.frozen
class Share:
    """The weight of one service in the split of a route's requests."""

    service: str
    weight: float


def _shares(values: Iterable[Share]) -> tuple[Share, ...]:
    # Tuples become lists when a stored part is decoded from JSON.
    return tuple(values)


@attrs.frozen
class CallerLimits:
    """Size and time limits of a caller's connection.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_seconds: Timeout for receiving a request head.
        idle_seconds: Time without a request after which the connection is
            closed.
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
        service: Service that handles the requests.
        open: Whether requests are accepted without a key.
        repeatable: Whether a request may be executed more than once.
        timeout: Seconds within which the response must be complete.
        host: Host that the route applies to; empty for all hosts.
        attempts: Maximum number of targets that one request is sent to.
        objective: Latency objective in seconds; 0 if the operators set none.
        priority: Priority in a queue, 0 is the highest.
        split: Services among which the requests are split by weight; if set,
            it replaces `service`.
        areas: Areas in which its requests may run; empty for any.
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
    areas: tuple[str, ...] = attrs.field(default=(), converter=_area_names)

    def services(self) -> list[str]:
        """Returns the services to which the route may send requests."""
        if not self.split:
            return [self.service]
        return [share.service for share in self.split if share.weight > 0]

    def serves(self, service: str) -> bool:
        """Returns whether the route may send requests to the service."""
        return service in self.services()


def parse_token(token: str) -> tuple[str, str] | None:
    """Splits `cf_<key id>_<secret>` into key id and secret.

    Returns None if the token does not have this form.
    """
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
        revision: Number that increases with each accepted change.
        digest: Hash of the content.
        accounts: Client accounts by id.
        keys: Keys of the form `cf_<key id>_<secret>` by id.
        services: Services by name.
        routes: Routes by id.
        opaque_keys: Account ids by the SHA-256 digest of keys without a
            prescribed form.
        limits: Limits of callers' connections, or None for the defaults.
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
    _shared_services: frozenset[str] = attrs.field(
        init=False, eq=False, repr=False
    )
    _called_services: frozenset[str] = attrs.field(
        init=False, eq=False, repr=False
    )

    @_by_prefix.default
    def _index_routes(self) -> dict[tuple[str, str], list[Route]]:
        index: dict[tuple[str, str], list[Route]] = {}
        for route in self.routes.values():
            index_key = route.host, route.prefix.rstrip("/")
            index.setdefault(index_key, []).append(route)
        for routes in index.values():
            # Routes that list methods precede those that accept all, so that
            # the result does not depend on the order of the entries.
            routes.sort(key=lambda route: (not route.methods, route.id))
        return index

    @_shared_services.default
    def _find_shared_services(self) -> frozenset[str]:
        kinds: dict[str, set[tuple[int, float]]] = {}
        for route in self.routes.values():
            if not route.open:
                for service in route.services():
                    kind = route.priority, route.objective
                    kinds.setdefault(service, set()).add(kind)
        return frozenset(s for s, found in kinds.items() if len(found) > 1)

    @_called_services.default
    def _find_called_services(self) -> frozenset[str]:
        return frozenset(
            service
            for route in self.routes.values()
            if route.open
            for service in route.services()
        )

    def is_called(self, service: str) -> bool:
        """Returns whether targets may call a service, on an open route."""
        return service in self._called_services

    def is_shared(self, service: str) -> bool:
        """Returns whether requests of several kinds compete for a service.

        Two kinds of requests of client accounts differ in their priority or
        their latency objective.
        """
        return service in self._shared_services

    def route_for(self, method: str, path: str, host: str = "") -> Route | None:
        """Returns the route with the longest prefix that accepts the method.

        Routes for the given host take precedence over routes for all hosts.
        """
        found = self._match_route(host, method, path) if host else None
        return found or self._match_route("", method, path)

    def _match_route(self, host: str, method: str, path: str) -> Route | None:
        path = path.split("?", 1)[0]
        prefix = path.rstrip("/")
        if host and not path.endswith("/"):
            # Prefixes of host routes end with a slash, so the last segment of
            # the path matches only if a slash follows it.
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
            # Digests are compared, so timing reveals nothing about a key.
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
