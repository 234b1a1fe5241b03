"""Requests of this entry that wait for the retry budget of their service.

Load: the targets of a service refuse a large part of their requests for some
seconds, so that the budget does not cover all retries. Refusing the rest at
once would lose requests whose time is not over. They wait here instead, and one
question at a time is sent for all that wait for the same service: calls of
running requests first, then clients that can still be answered within their
objective, by rank and arrival.
"""

import itertools
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront.edge import policies
from cicadafront.routing import refused_work
from cicadafront.telemetry import logs

_log = logs.Log("repeats")
_numbers = itertools.count()


@attrs.define(eq=False)
class Waiting:
    """A request that waits.

    Attributes:
        service: Service of the request.
        rank: Rank; a lower one goes first.
        in_time_until: Time until which a retry may meet its objective.
        until: Time in seconds at which it stops waiting.
        granted: Called when it may be sent.
        expired: Called when `until` has passed.
        number: Order of arrival.
    """

    service: str
    rank: int
    in_time_until: float
    until: float
    granted: Callable[[], None]
    expired: Callable[[], None]
    number: int = attrs.field(factory=lambda: next(_numbers))

    def order(self, now: float) -> tuple[int, bool, int]:
        """Returns the sort key at a time in seconds."""
        return self.rank, now > self.in_time_until, self.number


class BudgetQueue:
    """Asks the retry budget on behalf of the requests that wait for it.

    Args:
        clock: Source of time and timers.
        budget: The retry budget.
    """

    def __init__(self, clock: Any, budget: policies.RetryBudget):
        self._clock = clock
        self._budget = budget
        self._waiting: dict[str, list[Waiting]] = {}
        # Services with a timer or a question without an answer.
        self._asking: set[str] = set()

    def __len__(self) -> int:
        return sum(map(len, self._waiting.values()))

    def add(self, request: Waiting) -> None:
        """Adds a request that the budget has refused a retry."""
        self._waiting.setdefault(request.service, []).append(request)
        if request.service not in self._asking:
            self._schedule(request.service)

    def remove(self, request: Waiting) -> None:
        """Removes a request that has been cancelled."""
        waiting = self._waiting.get(request.service, [])
        if request in waiting:
            waiting.remove(request)

    def _schedule(self, service: str, at_once: bool = False) -> None:
        waiting = self._waiting.get(service, ())
        calls = any(each.rank == 0 for each in waiting)
        pause = 0.0 if at_once else refused_work.budget_pause(calls)
        self._asking.add(service)
        self._clock.callLater(pause, self._ask, service)

    def _ask(self, service: str) -> None:
        self._expire(service)
        if not self._waiting.get(service):
            self._waiting.pop(service, None)
            self._asking.discard(service)
            return
        asked: Callable[..., Any] = self._budget.try_retry
        decision = defer.maybeDeferred(asked, service, self._clock.seconds())
        decision.addErrback(self._failed)
        decision.addCallback(self._decided, service)

    def _failed(self, reason: failure.Failure) -> bool:
        _log.error(
            "the retry budget failed to answer.", reason=reason.getTraceback()
        )
        return False

    def _decided(self, granted: bool, service: str) -> None:
        waiting = self._waiting.get(service)
        if granted and waiting:
            now = self._clock.seconds()
            first = min(waiting, key=lambda each: each.order(now))
            waiting.remove(first)
            _notify(first.granted)
        self._schedule(service, at_once=granted)

    def _expire(self, service: str) -> None:
        now = self._clock.seconds()
        for each in list(self._waiting.get(service, ())):
            # The end of one may have removed others.
            if now >= each.until and each in self._waiting[service]:
                self._waiting[service].remove(each)
                _notify(each.expired)


def _notify(handler: Callable[[], None]) -> None:
    """Calls a handler; the others that wait must not suffer from a defect."""
    try:
        handler()
    except Exception:
        _log.error(
            "a request that waited for the retry budget failed.",
            traceback=failure.Failure().getTraceback(),
        )
