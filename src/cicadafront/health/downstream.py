"""Requests that the local targets send to other services.

A request that runs at a target fails, or takes long, when one of its own
requests does. That is no evidence against the target. The instance forwards
these requests, so it knows their outcome.

The module performs no I/O. The caller passes the time, in seconds of one
monotonic clock.
"""

import collections
import math

import attrs

# Number of failed requests that are remembered.
MAX_FAILED = 64


@attrs.define(eq=False)
class DownstreamRequest:
    """A request of a local target that is in flight.

    Attributes:
        started: Time at which it was read, in seconds.
        objective: Latency objective of its route, in seconds; 0 for none.
    """

    started: float
    objective: float

    @property
    def late_since(self) -> float:
        """Time from which the request is late."""
        return self.started + self.objective if self.objective else math.inf


class DownstreamRequests:
    """Tracks the requests of the local targets to other services."""

    def __init__(self) -> None:
        self._open: set[DownstreamRequest] = set()
        # Start times of failed requests, which explain no failure yet.
        self._failed: collections.deque[float] = collections.deque(
            maxlen=MAX_FAILED
        )
        self._late_seconds = 0.0
        self._counted_until = -math.inf

    def begin(self, now: float, objective: float) -> DownstreamRequest:
        """Records a request.

        Args:
            now: Time in seconds.
            objective: Latency objective of its route in seconds; 0 for none.
        """
        request = DownstreamRequest(now, objective)
        self._open.add(request)
        return request

    def end(self, now: float, request: DownstreamRequest, served: bool) -> None:
        """Records the end of a request.

        Args:
            now: Time in seconds.
            request: The request.
            served: Whether it was answered with success.
        """
        if request not in self._open:
            return
        self._late_seconds = self.late_seconds(now)
        self._counted_until = now
        self._open.discard(request)
        if not served:
            self._failed.append(request.started)

    def late_seconds(self, now: float) -> float:
        """Returns for how long, in total, at least one request was late."""
        first = min((each.late_since for each in self._open), default=math.inf)
        since = max(first, self._counted_until)
        return self._late_seconds + max(0.0, now - since)

    def explains_failure(self, now: float, since: float) -> bool:
        """Returns whether a failed or late request explains a server error.

        A failed request explains one server error.

        Args:
            now: Time of the server error in seconds.
            since: Time at which the target received the request.
        """
        for started in self._failed:
            if started >= since:
                self._failed.remove(started)
                return True
        return any(
            each.started >= since and now >= each.late_since
            for each in self._open
        )
