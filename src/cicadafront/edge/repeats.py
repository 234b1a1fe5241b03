"""What pays for further arrivals of one request at targets.

The first arrival is free. Each further one is paid out of the retry budget of
the service, before it is sent.
"""

import enum
from collections.abc import Callable

from cicadafront import headers
from cicadafront.edge import order, parts
from cicadafront.telemetry import logs

_log = logs.Log("repeats")


class Kind(enum.Enum):
    """Why a request goes to a further target."""

    RETRY = "retry"
    SECOND_COPY = "second copy"


class Repeats:
    """Arrivals of one request, and payments for further ones.

    Attributes:
        offered: Attempts that have ended and reached a target, or may have.
        cancelled: Whether the request was given up.
    """

    def __init__(self, site: parts.Parts, wanted: order.Order):
        self.offered = 0
        self.cancelled = False
        self._site = site
        self._order = wanted

    def start(self) -> None:
        """Notes the request, which allows a part of a retry."""
        now = self._site.clock.seconds()
        share = self._repeated_share()
        self._site.budget.request(self._order.service, now, share)
        if share:
            self._site.counts["calls_of_repeats"] += 1
            _log.info(
                "a repeated request may have made this call.",
                request=self._id(),
                service=self._order.service,
                repeated_share=round(share, 2),
            )

    def _repeated_share(self) -> float:
        """Returns how likely a repeated request makes this one.

        Targets call without a key and from the address of the callers, so
        any request without a key may come from one that runs here.
        """
        if self._order.account is not None:
            return 0.0
        return self._site.repeated_share()

    def pay(
        self,
        kind: Kind,
        granted: Callable[[], None],
        refused: Callable[[], None],
    ) -> None:
        """Goes on with one retry out of the budget, now or in a moment.

        Neither callback runs after the request was given up.
        """
        now = self._site.clock.seconds()
        found = self._site.budget.try_retry(self._order.service, now)
        if not isinstance(found, bool):
            found.addCallback(self._decided, kind, granted, refused)
            return
        self._decided(found, kind, granted, refused)

    def _decided(
        self,
        paid: bool,
        kind: Kind,
        granted: Callable[[], None],
        refused: Callable[[], None],
    ) -> None:
        if self.cancelled:
            return
        self._write(kind, paid)
        (granted if paid else refused)()

    def _write(self, kind: Kind, paid: bool) -> None:
        _log.info(
            "a further arrival is paid."
            if paid
            else "the retry budget refuses a further arrival.",
            request=self._id(),
            service=self._order.service,
            route=self._order.route.id,
            kind=kind.value,
            offered=self.offered,
        )

    def _id(self) -> str:
        name = self._site.words.exchange_id_name
        return headers.value_of(self._order.head.headers, name).decode(
            "latin-1"
        )
