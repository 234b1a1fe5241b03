"""Charges retries and hedges of one request to the retry budget.

The first attempt that reaches a target is free. Each further one is charged
to the retry budget of the service before it is sent.
"""

import enum
from collections.abc import Callable

from cicadafront import headers
from cicadafront.edge import dependencies, resolved_request
from cicadafront.telemetry import logs

_log = logs.Log("repeats")


class Kind(enum.Enum):
    """Why a request is sent to another target."""

    RETRY = "retry"
    HEDGE = "second copy"


class RetryCharges:
    """Counts the attempts of one request that reached a target.

    Attributes:
        arrivals: Number of ended attempts that reached a target, or may have.
        cancelled: Whether the request was cancelled.
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
        """Reports the request; it adds a fraction of a retry to the budget."""
        now = self._deps.clock.seconds()
        share = self._repeated_share()
        self._deps.budget.request(self._resolved.service, now, share)
        if share:
            self._deps.counts["calls_of_repeats"] += 1
            _log.info(
                "request may have been sent by a retried request",
                request=self._id(),
                service=self._resolved.service,
                repeated_share=round(share, 2),
            )

    def _repeated_share(self) -> float:
        """Returns the probability that a retried request sent this one.

        The local target sends its requests without a key and from the same
        address as other callers. Any request without a key may therefore have
        been sent on behalf of a request that runs at the local target.
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
        """Takes one retry out of the budget and calls back with the result.

        The budget may reply later. Neither callback is called after the
        request was cancelled.

        Args:
            kind: Why the request is sent again.
            granted: Called if the budget grants the retry.
            refused: Called if the budget is used up.
        """
        now = self._deps.clock.seconds()
        found = self._deps.budget.try_retry(self._resolved.service, now)
        if not isinstance(found, bool):
            found.addCallback(self._on_decision, kind, granted, refused)
            return
        self._on_decision(found, kind, granted, refused)

    def _on_decision(
        self,
        approved: bool,
        kind: Kind,
        granted: Callable[[], None],
        refused: Callable[[], None],
    ) -> None:
        if self.cancelled:
            return
        self._log_decision(kind, approved)
        (granted if approved else refused)()

    def _log_decision(self, kind: Kind, approved: bool) -> None:
        _log.info(
            "retry budget granted another attempt"
            if approved
            else "retry budget refused another attempt",
            request=self._id(),
            service=self._resolved.service,
            route=self._resolved.route.id,
            kind=kind.value,
            offered=self.arrivals,
        )

    def _id(self) -> str:
        name = self._deps.wire_dialect.exchange_id_name
        return headers.value_of(self._resolved.head.headers, name).decode(
            "latin-1"
        )
