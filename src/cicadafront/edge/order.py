"""What a request asks for: route, client account and idempotency key."""

import attrs

from cicadafront import errors, headers, model
from cicadafront.config import model as config_model
from cicadafront.edge import parts

MAX_KEY_BYTES = 255

_READS = frozenset({"GET", "HEAD"})
_KEY_HEADER = b"idempotency-key"


@attrs.frozen
class Order:
    """A request with all that the configuration says about it.

    Attributes:
        head: Head for the target.
        route: Route that takes the request.
        account: Client account, or None on open routes.
        key: Idempotency key, empty if there is none or the route is
            repeatable.
    """

    head: model.RequestHead
    route: config_model.Route
    account: config_model.ClientAccount | None = None
    key: str = ""

    @property
    def is_read(self) -> bool:
        """Whether the request may be hedged if it has no body."""
        return self.route.repeatable and self.head.method in _READS

    @property
    def account_id(self) -> str:
        """Id of the account, empty on open routes."""
        return self.account.id if self.account is not None else ""


def resolve(site: parts.Parts, head: model.RequestHead, token: str) -> Order:
    """Returns the order of a request.

    Raises:
        RequestError: The request is refused.
    """
    configuration = site.configuration()
    if configuration is None:
        raise errors.NotReadyError(
            "This instance has no configuration yet; try again.",
            retry_after=1.0,
        )
    route = configuration.route_for(head.method, head.path)
    if route is None:
        raise errors.RouteNotFoundError(
            "No route takes this method and path; check both."
        )
    account = None
    if not route.open:
        account = _account(site, configuration, token)
    return Order(head, route, account, "" if route.repeatable else _key(head))


def still_valid(site: parts.Parts, order: Order, token: str) -> bool:
    """Whether the token still belongs to the client account of an order."""
    configuration = site.configuration()
    if configuration is None or order.account is None:
        return True
    account = configuration.account_for(token)
    return account is not None and account.id == order.account.id


def _account(
    site: parts.Parts, configuration: config_model.Configuration, token: str
) -> config_model.ClientAccount:
    if not site.confirmed():
        raise errors.ConfigurationUnconfirmedError(
            "This instance cannot confirm its keys; try another instance.",
            retry_after=1.0,
        )
    account = configuration.account_for(token)
    if account is None:
        raise errors.KeyUnknownError(
            "The key is not valid; send `Authorization: Bearer <key>`."
        )
    return account


def _key(head: model.RequestHead) -> str:
    key = headers.value_of(head.headers, _KEY_HEADER)
    if len(key) > MAX_KEY_BYTES:
        raise errors.BadRequestError(
            f"The Idempotency-Key is longer than {MAX_KEY_BYTES} bytes."
        )
    return key.decode("latin-1")
