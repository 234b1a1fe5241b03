"""Judges one target by few requests: does it stall or fail most of its work?

A gray target passes its health check and hangs or fails most requests for
some seconds. At a few requests a second the next failures are too far apart
to wait for a rate, so the age of a running request counts as well: one that
has run several times longer than usual, while nothing else has completed
since it started, is evidence before its deadline has passed.

Pure: the caller passes the time, in seconds of one steady clock.
"""

import collections
import enum

import attrs

# Share of the objective that a request may usually take, until latencies of
# the same kind are known: the objective leaves room for a queue and a retry.
PRIOR_SHARE = 0.35
# Weight of the newest latency in the mean.
MEAN_WEIGHT = 0.1
# Multiples of the usual time after which a running request is late, and
# after which it counts as stalled. Work times spread by a factor of 2.5.
LATE_FACTOR = 2.5
STALL_FACTOR = 5.0
# Multiple after which a target is no place for a request that may run only
# once, if others have room: it cannot be taken elsewhere when it stalls.
SLOW_FACTOR = 1.2
# A request is never late before this time, however fast others are.
MIN_LATE_SECONDS = 0.08
# Evidence at which a target is doubted, and at which it is suspended. One
# failure may come from the request itself, two in a row seldom do.
DOUBT_EVIDENCE = 0.5
SUSPEND_EVIDENCE = 1.6
# Evidence of a request that the target refuses although it has a slot: it
# would attract work by refusing faster than others run it.
SHED_EVIDENCE = 0.6
# Evidence of a server error: less than that of a broken answer, as a call that
# the target made for the request may have failed elsewhere.
ERROR_EVIDENCE = 0.8
# A success outweighs this share of the evidence.
SUCCESS_DECAY = 0.6
# Time constant with which evidence fades, about the length of a gray spell.
DECAY_SECONDS = 4.0
# Time until a suspended target gets a trial; doubles while trials fail.
MIN_TRIAL_DELAY_SECONDS = 1.0
MAX_TRIAL_DELAY_SECONDS = 4.0
# Successes in a row that end a suspension.
TRIALS_REQUIRED = 2


class BreakerState(enum.Enum):
    """How far a target is trusted."""

    TRUSTED = "trusted"
    DOUBTED = "doubted"
    SUSPENDED = "suspended"


@attrs.define(eq=False)
class InFlightRequest:
    """A request that is with the target.

    Attributes:
        started: Time of the hand-over.
        expected_seconds: Seconds that such a request usually takes.
        objective: Key of the latencies that it is compared with.
        answered: Whether the head of a good answer has come.
    """

    started: float
    expected_seconds: float
    objective: float
    answered: bool = False


class ExpectedLatency:
    """Mean seconds of good answers, by the objective of their route."""

    def __init__(self) -> None:
        self._means: dict[float, float] = {}

    def seconds(self, objective: float) -> float:
        """Returns the usual time of requests with this objective."""
        return self._means.get(objective, objective * PRIOR_SHARE)

    def observe(self, objective: float, seconds: float) -> None:
        """Takes the time of a good answer."""
        mean = self.seconds(objective)
        self._means[objective] = mean + MEAN_WEIGHT * (seconds - mean)


class CircuitBreaker:
    """Judgement of one target.

    Attributes:
        running: Requests that are with the target.
        suspended: Whether it is suspended until its trials pass.
    """

    def __init__(self, expected_latency: ExpectedLatency):
        self.running: set[InFlightRequest] = set()
        self.suspended = False
        self._expected = expected_latency
        self._evidence = 0.0
        self._decayed_at = 0.0
        self._last_success = float("-inf")
        # Latest start of a request that has been answered well.
        self._last_confirmed_start = float("-inf")
        self._trial_due = 0.0
        self._trial_delay = MIN_TRIAL_DELAY_SECONDS
        self._trials_passed = 0
        self.reasons: collections.Counter[str] = collections.Counter()

    def start(self, now: float, objective: float) -> InFlightRequest:
        """Notes a request that is handed over."""
        request = InFlightRequest(
            now, self._expected.seconds(objective), objective
        )
        self.running.add(request)
        if self.suspended:
            self._trial_due = now + self._trial_delay
        return request

    def succeeded(self, now: float, request: InFlightRequest) -> None:
        """Notes a whole answer."""
        if request not in self.running:
            return
        self.running.discard(request)
        request.answered = True
        self._expected.observe(request.objective, now - request.started)
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
        """Notes a failure of the target, also after the head of its answer."""
        if request in self.running or request.answered:
            self.running.discard(request)
            request.answered = False
            self.reasons[reason] += 1
            self._add(now, 1.0)

    def server_error(
        self, now: float, request: InFlightRequest, status: int
    ) -> None:
        """Notes a server error."""
        if request in self.running:
            self.running.discard(request)
            self.reasons[f"status_{status}"] += 1
            self._add(now, ERROR_EVIDENCE)

    def shed(self, now: float, request: InFlightRequest) -> None:
        """Notes a request that the target refused to run."""
        if request in self.running:
            self.running.discard(request)
            self.reasons["shed"] += 1
            self._add(now, SHED_EVIDENCE)

    def cancelled(self, now: float, request: InFlightRequest) -> None:
        """Notes a request that was cancelled, by its caller or its entry."""
        if request not in self.running:
            return
        late = self._lateness(now, request)
        self.running.discard(request)
        if late:
            self.reasons["cancelled_late"] += 1
            self._add(now, late)

    def state(self, now: float) -> BreakerState:
        """Returns how far the target is trusted."""
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
        """Returns how many requests run of which no later one has ended.

        All of them are lost if the target stalls at the moment.
        """
        return sum(
            request.started > self._last_confirmed_start
            for request in self.running
        )

    def has_slow_request(self, now: float) -> bool:
        """Returns whether a request runs long while no other one ends."""
        return any(
            self._last_success <= request.started
            and now - request.started
            > max(MIN_LATE_SECONDS, SLOW_FACTOR * request.expected_seconds)
            for request in self.running
        )

    def allows_trial(self, now: float) -> bool:
        """Returns whether a suspended target may be tried with one request."""
        return self.suspended and now >= self._trial_due

    def _lateness(self, now: float, request: InFlightRequest) -> float:
        """Returns the evidence of a running request, from 0 to 1."""
        age = now - request.started
        late = max(MIN_LATE_SECONDS, LATE_FACTOR * request.expected_seconds)
        if age < late:
            return 0.0
        if self._last_success > request.started:
            # The target works on others; a long request is no surprise.
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
            self._trial_due = now + self._trial_delay
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
