"""Circuit breaker for one target at a low request rate.

A gray target passes its health check, but hangs or fails most requests for
some seconds. At a few requests a second, failures are too far apart to wait
for a failure rate, so the age of running requests counts as well. A request
that has run several times longer than expected, while no other request has
completed since it started, is evidence before its deadline has passed.

The module performs no I/O. The caller passes the time, in seconds of one
monotonic clock.
"""

import collections
import enum
from collections.abc import Callable

import attrs

from cicadafront.routing import refused_work

# Expected latency as a share of the latency objective, until latencies for the
# objective are known. The objective leaves time for queueing and a retry.
PRIOR_SHARE = 0.35
# Weight of the latest latency in the moving average.
MEAN_WEIGHT = 0.1
# Multiples of the expected latency after which a running request is late, and
# after which it counts as stalled. Service times vary by a factor of 2.5.
LATE_FACTOR = 2.5
STALL_FACTOR = 5.0
# Multiple after which requests that may run only once should avoid the target
# if others have free slots: such a request cannot be retried elsewhere when the
# target stalls.
SLOW_FACTOR = 1.2
# Minimum age of a late request, regardless of the expected latency.
MIN_LATE_SECONDS = 0.08
# Evidence at which a target is doubted, and at which it is suspended. A single
# failure may be caused by the request itself; two consecutive ones seldom are.
DOUBT_EVIDENCE = 0.5
SUSPEND_EVIDENCE = 1.6
# Evidence of a request that the target refuses although it has a free slot.
# Such a target would attract load, because it refuses requests faster than
# others complete them.
SHED_EVIDENCE = 0.6
# Evidence of a target that refuses most requests, where refusals do not suspend
# it: it is doubted for some seconds.
MAX_SHED_EVIDENCE = 1.0
# Evidence of a server error. It is lower than that of a failed exchange,
# because a downstream call of the target may have failed.
ERROR_EVIDENCE = 0.8
# Share of the evidence that a success removes.
SUCCESS_DECAY = 0.6
# Time constant of the decay of evidence; about the duration of a gray failure.
DECAY_SECONDS = 4.0
# Delay until a doubted or suspended target gets a trial request. It grows with
# each failed trial of a suspended target, but stays below 2 s: a target that
# gets nothing for so long counts as left out.
MIN_TRIAL_DELAY_SECONDS = 1.0
MAX_TRIAL_DELAY_SECONDS = 1.5
# Consecutive successful trials that end a suspension.
TRIALS_REQUIRED = 2


class BreakerState(enum.Enum):
    """State of a circuit breaker; corresponds to closed, degraded and open."""

    TRUSTED = "trusted"
    DOUBTED = "doubted"
    SUSPENDED = "suspended"


@attrs.define(eq=False)
class InFlightRequest:
    """A request that was sent to the target.

    Attributes:
        started: Time at which it was sent, in seconds.
        expected_seconds: Expected latency, in seconds.
        objective: Latency objective of its route, in seconds.
        excused: Total of the excused seconds when it was sent.
        answered: Whether the head of a successful response has arrived.
    """

    started: float
    expected_seconds: float
    objective: float
    excused: float = 0.0
    answered: bool = False


class ExpectedLatency:
    """Moving average of the latency of successful requests, by objective."""

    def __init__(self) -> None:
        self._means: dict[float, float] = {}

    def seconds(self, objective: float) -> float:
        """Returns the expected latency for an objective, both in seconds."""
        return self._means.get(objective, objective * PRIOR_SHARE)

    def observe(self, objective: float, seconds: float) -> None:
        """Adds the latency of a successful request, in seconds."""
        mean = self.seconds(objective)
        self._means[objective] = mean + MEAN_WEIGHT * (seconds - mean)


class CircuitBreaker:
    """Circuit breaker for one target.

    Args:
        expected_latency: Expected latencies, shared by the targets.
        excused: Returns for how many seconds, in total until a time, running
            requests may have waited for something other than the target.

    Attributes:
        running: Requests that are in flight at the target.
        suspended: Whether the target is suspended until its trials succeed.
        reasons: Number of failures by reason.
    """

    def __init__(
        self,
        expected_latency: ExpectedLatency,
        excused: Callable[[float], float] = lambda now: 0.0,
    ):
        self.running: set[InFlightRequest] = set()
        self.suspended = False
        self._expected = expected_latency
        self._excused = excused
        self._evidence = 0.0
        self._refused = refused_work.RefusedShare()
        self._decayed_at = 0.0
        self._last_success = float("-inf")
        # Latest start time of a successful request.
        self._last_confirmed_start = float("-inf")
        self._trial_due = 0.0
        self._last_start = float("-inf")
        self._trial_delay = MIN_TRIAL_DELAY_SECONDS
        self._trials_passed = 0
        self.reasons: collections.Counter[str] = collections.Counter()

    def start(self, now: float, objective: float) -> InFlightRequest:
        """Records a request that is sent to the target."""
        request = InFlightRequest(
            now,
            self._expected.seconds(objective),
            objective,
            self._excused(now),
        )
        self.running.add(request)
        self._last_start = now
        if self.suspended:
            self._trial_due = now + self._trial_delay
        return request

    def succeeded(self, now: float, request: InFlightRequest) -> None:
        """Records a successful response."""
        if request not in self.running:
            return
        self.running.discard(request)
        request.answered = True
        self._expected.observe(request.objective, now - request.started)
        self._refused.succeeded()
        self._decay(now)
        self._evidence *= 1 - SUCCESS_DECAY
        self._last_success = now
        self._last_confirmed_start = max(
            self._last_confirmed_start, request.started
        )
        if not self.suspended:
            return
        self._trials_passed += 1
        self._trial_due = now
        if self._trials_passed >= TRIALS_REQUIRED:
            self.suspended = False
            self._evidence = 0.0
            self._trial_delay = MIN_TRIAL_DELAY_SECONDS

    def failed(self, now: float, request: InFlightRequest, reason: str) -> None:
        """Records a failed request, also after the head of its response."""
        if request in self.running or request.answered:
            self.running.discard(request)
            request.answered = False
            self.reasons[reason] += 1
            self._add(now, 1.0)

    def server_error(
        self, now: float, request: InFlightRequest, status: int
    ) -> None:
        """Records a response with a server error."""
        if request in self.running:
            self.running.discard(request)
            self.reasons[f"status_{status}"] += 1
            self._add(now, ERROR_EVIDENCE)

    def inconclusive(self, now: float, request: InFlightRequest) -> None:
        """Records the end of a request that says nothing about the target."""
        if request in self.running:
            self.running.discard(request)
            self._repeat_trial(now)

    def _repeat_trial(self, now: float) -> None:
        """Allows a trial at once, because the last one showed nothing."""
        if self.suspended:
            self._trial_due = now

    def shed(
        self, now: float, request: InFlightRequest, *, suspends: bool = True
    ) -> None:
        """Records a request that the target refused to run.

        Args:
            now: Time in seconds.
            request: The request.
            suspends: Whether refusals alone may suspend the target; otherwise
                it is doubted if it refuses most of its requests.
        """
        if request not in self.running:
            return
        self.running.discard(request)
        self.reasons["shed"] += 1
        self._refused.refused()
        if suspends:
            self._add(now, SHED_EVIDENCE)
        elif self._refused.avoids():
            self._decay(now)
            self._add(now, max(0.0, MAX_SHED_EVIDENCE - self._evidence))
        else:
            self._repeat_trial(now)

    def cut_short(
        self, now: float, request: InFlightRequest, reason: str
    ) -> None:
        """Records a request that its client, entry or deadline ended.

        Its evidence depends on how late it was: a deadline can be shorter than
        the usual time of the request.
        """
        if request not in self.running:
            return
        late = self._lateness(now, request)
        self.running.discard(request)
        if late:
            self.reasons[reason] += 1
            self._add(now, late)
        else:
            self._repeat_trial(now)

    def state(self, now: float) -> BreakerState:
        """Returns the state, after suspending the target if necessary."""
        self._decay(now)
        evidence = self._evidence + sum(
            self._lateness(now, request) for request in self.running
        )
        if not self.suspended and evidence >= SUSPEND_EVIDENCE:
            self._suspend(now)
        if self.suspended:
            return BreakerState.SUSPENDED
        return (
            BreakerState.DOUBTED
            if evidence >= DOUBT_EVIDENCE
            else BreakerState.TRUSTED
        )

    def unconfirmed(self) -> int:
        """Returns the number of requests started since the last confirmation.

        These started after the latest successful request did. All of them are
        lost if the target is stalled.
        """
        return sum(
            request.started > self._last_confirmed_start
            for request in self.running
        )

    def has_slow_request(self, now: float) -> bool:
        """Returns whether a request is slow and no later one succeeded."""
        return any(
            self._last_success <= request.started
            and self._age(now, request)
            > max(MIN_LATE_SECONDS, SLOW_FACTOR * request.expected_seconds)
            for request in self.running
        )

    def allows_trial(self, now: float) -> bool:
        """Returns whether a doubted or suspended target may get a request."""
        if self.suspended:
            return now >= self._trial_due
        due = self._last_start + MIN_TRIAL_DELAY_SECONDS
        return not self.running and now >= due

    def _age(self, now: float, request: InFlightRequest) -> float:
        """Returns for how long the target has had a request, in seconds."""
        excused = self._excused(now) - request.excused
        return now - request.started - excused

    def _lateness(self, now: float, request: InFlightRequest) -> float:
        """Returns the evidence of a running request, from 0 to 1."""
        age = self._age(now, request)
        late = max(MIN_LATE_SECONDS, LATE_FACTOR * request.expected_seconds)
        if age < late:
            return 0.0
        if self._last_success > request.started:
            # The target completes other requests, so a long one is less
            # suspicious.
            late *= 1.5
            if age < late:
                return 0.0
        stalled = max(late, STALL_FACTOR * request.expected_seconds)
        if age >= stalled:
            return 1.0
        return DOUBT_EVIDENCE + (1 - DOUBT_EVIDENCE) * (age - late) / (
            stalled - late
        )

    def _add(self, now: float, amount: float) -> None:
        self._decay(now)
        self._evidence += amount
        if self.suspended:
            self._trials_passed = 0
            self._trial_delay = min(
                MAX_TRIAL_DELAY_SECONDS, 2 * self._trial_delay
            )
            self._trial_due = max(now, self._last_start + self._trial_delay)
        elif self._evidence >= SUSPEND_EVIDENCE:
            self._suspend(now)

    def _suspend(self, now: float) -> None:
        self.suspended = True
        self._trials_passed = 0
        self._trial_due = now + self._trial_delay

    def _decay(self, now: float) -> None:
        passed = max(0.0, now - self._decayed_at)
        self._decayed_at = max(self._decayed_at, now)
        if self._evidence:
            self._evidence *= max(0.0, 1 - passed / DECAY_SECONDS)
