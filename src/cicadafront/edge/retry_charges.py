"""What pays for further arrivals of one request at targets.

The first arrival is free. Each further one is paid out of the retry budget of
the service, before it is sent.
"""

import enum
from collections.abc import Callable

from cicadafront import headers
from cicadafront.edge import dependencies, resolved_request
from cicadafront.telemetry import logs

_log = logs.Log("repeats")


class Kind(enum.Enum):
    """Why a request goes to a further target."""

    RETRY = "retry"
    HEDGE = "second copy"


class RetryCharges:
    """Arrivals of one request, and payments for further ones.

    Attributes:
        arrivals: Attempts that have ended and reached a target, or may have.
        cancelled: Whether the request was given up.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        resolved: resolved_request.ResolvedRequest,
    ):
        self.arrivals = 0
        self.cancelled = False
        self._deps = deps
        self._resolved = resolved

    def start(self) -> None:
        """Notes the request, which allows a part of a retry."""
        now = self._deps.clock.seconds()
        share = self._repeated_share()
        self._deps.budget.request(self._resolved.service, now, share)
        if share:
            self._deps.counts["calls_of_repeats"] += 1
            _log.info(
                "a repeated request may have made this call.",
                request=self._id(),
                service=self._resolved.service,
                repeated_share=round(share, 2),
            )

    def _repeated_share(self) -> float:
        """Returns how likely a repeated request makes this one.

        Targets call without a key and from the address of the callers, so
        any request without a key may come from one that runs here.
        """
        if self._resolved.account is not None:
            return 0.0
        return self._deps.repeated_share()

    def charge(
        self,
        kind: Kind,
        granted: Callable[[], None],
        refused: Callable[[], None],
    ) -> None:
        """Goes on with one retry out of the budget, now or in a moment.

        Neither callback runs after the request was given up.
        """
        now = self._deps.clock.seconds()
        found = self._deps.budget.try_retry(self._resolved.service, now)
        if not isinstance(found, bool):
            found.addCallback(self._on_decision, kind, granted, refused)
            return
        self._on_decision(found, kind, granted, refused)

    def _on_decision(
        self,
        paid: bool,
        kind: Kind,
        granted: Callable[[], None],
        refused: Callable[[], None],
    ) -> None:
        if self.cancelled:
            return
        self._log_decision(kind, paid)
        (granted if paid else refused)()

    def _log_decision(self, kind: Kind, paid: bool) -> None:
        _log.info(
            "a further arrival is paid."
            if paid
            else "the retry budget refuses a further arrival.",
            request=self._id(),
            service=self._resolved.service,
            route=self._resolved.route.id,
            kind=kind.value,
            offered=self.arrivals,
        )

    def _id(self) -> str:
        name = self._deps.words.exchange_id_name
        return headers.value_of(self._resolved.head.headers, name).decode(
            "latin-1"
        )
