"""Resolution of a request: route, client account and idempotency key."""

import math

import attrs

from cicadafront import errors, headers, model
from cicadafront.config import model as config_model
from cicadafront.edge import dependencies

MAX_KEY_BYTES = 255

_READS = frozenset({"GET", "HEAD"})
_KEY_HEADER = b"idempotency-key"


@attrs.frozen
class ResolvedRequest:
    """A request with the configuration that applies to it.

    Attributes:
        head: Request head that is sent to the target.
        route: Route that matches the request.
        account: Client account, or None on open routes.
        key: Idempotency key, empty if there is none or the route is
            repeatable.
        service: Service that runs the request.
        timeout: Seconds within which the response must be complete.
    """

    head: model.RequestHead
    route: config_model.Route
    account: config_model.ClientAccount | None = None
    key: str = ""
    service: str = attrs.field()
    timeout: float = attrs.field()

    @service.default
    def _service_of_route(self) -> str:
        return self.route.service

    @timeout.default
    def _timeout_of_route(self) -> float:
        return self.route.timeout

    @property
    def priority(self) -> int:
        """Queue priority; 0 is the highest."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def is_read(self) -> bool:
        """Whether the request may be hedged if it has no body."""
        return self.route.repeatable and self.head.method in _READS

    @property
    def allowed_areas(self) -> tuple[tuple[str, ...], ...]:
        """Lists of areas in which it may run; all of them apply."""
        if self.account is None:
            return (self.route.areas,)
        return self.route.areas, self.account.areas

    @property
    def account_id(self) -> str:
        """Id of the account, empty on open routes."""
        return self.account.id if self.account is not None else ""


def resolve(
    deps: dependencies.Dependencies, head: model.RequestHead, token: str
) -> ResolvedRequest:
    """Resolves a request against the current configuration.

    Args:
        deps: Dependencies of the edge.
        head: Head that the caller sent.
        token: Key of the caller, or "".

    Raises:
        RequestError: The request is refused.
    """
    configuration = deps.configuration()
    if configuration is None:
        raise errors.NotReadyError(
            "This instance has no configuration yet; try again.",
            retry_after=1.0,
        )
    if not deps.eligibility().known:
        raise errors.NotReadyError(
            "This instance does not know yet which data centres are evacuated; "
            "try again.",
            retry_after=1.0,
        )
    host = headers.value_of(head.headers, b"host").partition(b":")[0]
    route = configuration.route_for(
        head.method, head.path, host.decode("latin-1").lower()
    )
    if route is None:
        raise errors.RouteNotFoundError(
            "No route matches this method and path; check both."
        )
    account = None
    if not route.open:
        account = _account(deps, configuration, token)
    _check_exchange_id(deps, head)
    return ResolvedRequest(
        _with_caller_service(deps, head),
        route,
        account,
        "" if route.repeatable else _idempotency_key(head),
        _choose_service(deps, route),
        _timeout(deps, head, route),
    )


def still_valid(
    deps: dependencies.Dependencies,
    resolved: ResolvedRequest,
    token: str,
) -> bool:
    """Whether the token still belongs to the request's client account."""
    configuration = deps.configuration()
    if configuration is None or resolved.account is None:
        return True
    account = configuration.account_for(token)
    return account is not None and account.id == resolved.account.id


def _check_exchange_id(
    deps: dependencies.Dependencies, head: model.RequestHead
) -> None:
    wire_dialect = deps.wire_dialect
    if wire_dialect.caller_exchange_id and not headers.value_of(
        head.headers, wire_dialect.exchange_id_name
    ):
        raise errors.BadRequestError(
            "The request has no id; send one in "
            f"{wire_dialect.exchange_id.decode()}."
        )


def _with_caller_service(
    deps: dependencies.Dependencies, head: model.RequestHead
) -> model.RequestHead:
    """Adds the header that names the service of the local target."""
    name = deps.wire_dialect.caller_service
    if not name:
        return head
    field = name, deps.local_service().encode()
    return attrs.evolve(head, headers=(*head.headers, field))


def _choose_service(
    deps: dependencies.Dependencies, route: config_model.Route
) -> str:
    if not route.split:
        return route.service
    weights = [share.weight for share in route.split]
    chosen = deps.rng.choices(route.split, weights)[0]
    return chosen.service


def _timeout(
    deps: dependencies.Dependencies,
    head: model.RequestHead,
    route: config_model.Route,
) -> float:
    """Returns the shorter of the route's and the caller's limit, in seconds."""
    wire_dialect = deps.wire_dialect
    if not wire_dialect.caller_deadline:
        return route.timeout
    stated = headers.value_of(head.headers, wire_dialect.deadline_name)
    try:
        millis = float(stated)
    except ValueError:
        # The header is absent or no number; the route's limit applies.
        return route.timeout
    if not math.isfinite(millis):
        return route.timeout
    return max(0.0, min(route.timeout, millis / 1000))


def _account(
    deps: dependencies.Dependencies,
    configuration: config_model.Configuration,
    token: str,
) -> config_model.ClientAccount:
    if not deps.confirmed():
        raise errors.ConfigurationUnconfirmedError(
            "This instance cannot confirm its keys; try another instance.",
            retry_after=1.0,
        )
    account = configuration.account_for(token)
    if account is None:
        raise errors.KeyUnknownError(
            "The key is not valid; send one in "
            f"{deps.wire_dialect.key.decode()}."
        )
    return account


def _idempotency_key(head: model.RequestHead) -> str:
    key = headers.value_of(head.headers, _KEY_HEADER)
    if len(key) > MAX_KEY_BYTES:
        raise errors.BadRequestError(
            f"The Idempotency-Key is longer than {MAX_KEY_BYTES} bytes."
        )
    return key.decode("latin-1")
