"""Admission control at the agent: requests start, wait or are refused.

Handles two overload situations. When some targets of a service stall for
seconds, requests must not accumulate there while other targets have free
slots: a refusal lets the entry try another target after one round trip. When
all targets are full, the most urgent requests wait in a short queue, and a
request that cannot be answered before its deadline is refused at once.

The gate implements both `agent.queue.Queue` and `agent.observer.Observer`, so
that its decisions follow from the requests that actually run at the target.
"""

import http
import math
from collections.abc import Callable
from typing import Any

import attrs

from cicadafront import errors
from cicadafront.agent import observer, queue
from cicadafront.health import crashes, downstream, target_breaker
from cicadafront.peer import exchange
from cicadafront.routing import cold_target, recent_work
from cicadafront.telemetry import logs

TICK_SECONDS = 0.05
# Waiting requests per slot. The queue drains in about this many mean service
# times, which is the time that most objectives leave for waiting.
MAX_QUEUED_PER_SLOT = 2
# Share of the slots, rounded up, that non-repeatable requests (such as
# payments) may occupy before one of them has completed. It bounds how many of
# them a target that begins to stall can lose while other targets have room.
UNPROVEN_SHARE = 0.5
# Lowest HTTP status of the server errors.
_SERVER_ERROR = 500

_log = logs.Log("gate")


@attrs.define(eq=False)
class _Waiting:
    entry: queue.Entry
    start: Callable[[], None]
    reject: queue.RejectCallback
    since: float


@attrs.define(eq=False)
class _LocalTarget:
    """Slots, queue and health estimate of one local target."""

    breaker: target_breaker.CircuitBreaker
    slots: int = 1
    holders: set[queue.Entry] = attrs.field(factory=set)
    waiting: list[_Waiting] = attrs.field(factory=list)
    alone: queue.Entry | None = None
    suspended: bool = False
    recent: recent_work.RecentWork = attrs.field(factory=recent_work.RecentWork)


@attrs.frozen(eq=False)
class _Token:
    local: _LocalTarget
    run: target_breaker.InFlightRequest
    running: crashes.RunningRequest


class Gate:
    """Slots, queues and health of the targets that are local to an instance.

    Args:
        clock: Source of time in seconds.
        crash_tracker: Notified when requests start and finish.
        alone: Returns whether a request must run alone on its target.
        shed: Called with the id of a target that refused a request, and the
            HTTP status of the refusal.
        may_repeat: Returns whether a request that another target has already
            received may run here. It may repeat its calls to other services.
        downstream_requests: Requests that the local targets send to other
            services.
        cold: Limit on the requests to a target that is cold.
        shared: Returns whether requests of several kinds compete for the
            service of the local targets.
    """

    def __init__(
        self,
        clock: Any,
        crash_tracker: crashes.CrashTracker,
        alone: Callable[[queue.Entry], bool] = lambda entry: False,
        shed: Callable[[str, int], None] = lambda target, status: None,
        may_repeat: Callable[[], bool] = lambda: True,
        downstream_requests: downstream.DownstreamRequests | None = None,
        cold: cold_target.ColdTarget | None = None,
        shared: Callable[[], bool] = lambda: False,
    ):
        self._shared = shared
        self._clock = clock
        self._crashes = crash_tracker
        self._alone = alone
        self._shed = shed
        self._may_repeat = may_repeat
        self._downstream = (
            downstream_requests or downstream.DownstreamRequests()
        )
        self._cold = cold or cold_target.ColdTarget()
        self._usual = target_breaker.ExpectedLatency()
        self._targets: dict[str, _LocalTarget] = {}
        self._timer: Any = None

    # Queue.

    def submit(
        self,
        entry: queue.Entry,
        start: Callable[[], None],
        reject: queue.RejectCallback,
    ) -> None:
        """Requests a slot; either callback may run before this returns."""
        now = self._clock.seconds()
        local = self._local_target(entry.target)
        local.slots = entry.slots
        refusal = self._refusal(now, local, entry)
        if refusal is not None:
            reject(refusal)
            return
        local.waiting.append(_Waiting(entry, start, reject, now))
        self._grant(now, local)
        if any(item.entry is entry for item in local.waiting):
            self._trim_queue(now, local)
        self._schedule_tick()

    def remove(self, entry: queue.Entry) -> None:
        """Removes a waiting entry, or frees the slot that it occupies."""
        local = self._targets.get(entry.target)
        if local is None:
            return
        local.holders.discard(entry)
        local.waiting = [w for w in local.waiting if w.entry is not entry]
        if local.alone is entry:
            local.alone = None
        self._grant(self._clock.seconds(), local)

    def load(self, target: str) -> exchange.Load:
        """Returns the load of a target."""
        local = self._targets.get(target)
        if local is None:
            return exchange.Load()
        return exchange.Load(
            len(local.holders),
            len(local.waiting),
            local.recent.service_ms(),
            local.recent.failed_percent(),
        )

    def repeated_share(self) -> float:
        """Returns the fraction of running requests that are repeats."""
        running = [e for local in self._targets.values() for e in local.holders]
        if not running:
            return 0.0
        return sum(entry.repeated for entry in running) / len(running)

    def tick(self) -> None:
        """Refuses waiting requests that cannot meet their deadline.

        Starts those that waited for an admission to a cold target.
        """
        now = self._clock.seconds()
        for local in list(self._targets.values()):
            for waiting in list(local.waiting):
                if self._deadline_unreachable(now, waiting.entry):
                    local.waiting.remove(waiting)
                    waiting.reject(
                        _busy(waiting.entry, self._drain_seconds(local))
                    )
            # Also if the limit has been removed since.
            self._grant(now, local)

    def _schedule_tick(self) -> None:
        """Schedules the next tick if any request waits."""
        idle = self._timer is None or not self._timer.active()
        if idle and any(local.waiting for local in self._targets.values()):
            self._timer = self._clock.callLater(TICK_SECONDS, self._run_tick)

    def _run_tick(self) -> None:
        self.tick()
        self._schedule_tick()

    def refuse_queued(self, target: str) -> None:
        """Refuses all requests that wait for a target that is leaving."""
        local = self._targets.get(target)
        if local is None:
            return
        waiting, local.waiting = local.waiting, []
        for item in waiting:
            item.reject(
                errors.TargetLeavingError(
                    f"Target {target} accepts no new requests; retry.",
                    retry_after=_retry_after(0.0),
                )
            )

    def refuse_all_queued(self) -> None:
        """Refuses all waiting requests because of an evacuation."""
        for target in list(self._targets):
            self.refuse_queued(target)

    def forget(self, target: str) -> None:
        """Drops the state of a target that has stopped."""
        self.refuse_queued(target)
        self._targets.pop(target, None)

    # Observer.

    def started(
        self, now: float, target: str, request: exchange.OpenRequest
    ) -> object:
        """Records that the target has received a complete request."""
        local = self._local_target(target)
        run = local.breaker.start(now, _objective(request))
        running = crashes.RunningRequest(
            target, request.account, request.fingerprint
        )
        self._crashes.started(running)
        return _Token(local, run, running)

    def answered(self, now: float, token: object, status: int) -> None:
        """Records the response head.

        The time of the response body is not judged, since it depends on how
        fast the caller reads.
        """
        if not isinstance(token, _Token):
            return
        if status == http.HTTPStatus.GATEWAY_TIMEOUT:
            # `finished` reports whether it came at the deadline.
            return
        if status >= _SERVER_ERROR:
            self._server_error(now, token, status)
        else:
            token.local.recent.succeeded(now - token.run.started)
            token.local.breaker.succeeded(now, token.run)

    def _server_error(self, now: float, token: _Token, status: int) -> None:
        breaker, run = token.local.breaker, token.run
        if run not in breaker.running:
            # The head has already been judged.
            return
        if self._downstream.explains_failure(now, run.started):
            breaker.inconclusive(now, run)
        else:
            token.local.recent.failed_once()
            breaker.server_error(now, run, status)

    def finished(
        self, now: float, token: object, outcome: observer.Outcome
    ) -> None:
        """Records the outcome of an exchange."""
        if not isinstance(token, _Token):
            return
        self._crashes.finished(token.running, outcome)
        breaker, run = token.local.breaker, token.run
        match outcome:
            case observer.Completed(status) if status >= _SERVER_ERROR:
                self._server_error(now, token, status)
            case observer.Completed():
                breaker.succeeded(now, run)
            case observer.Failed(kind):
                token.local.recent.failed_once()
                breaker.failed(now, run, kind)
                self._cold.failed(now, kind)
            case observer.Stalled() if not run.answered:
                breaker.cut_short(now, run, "deadline")
            case observer.Shed(status):
                breaker.shed(now, run, suspends=not self._shared())
                self._shed(token.running.target, status)
            case _:
                # The caller disconnected, or reads the rest of a good response
                # slowly.
                breaker.cut_short(now, run, "cancelled_late")

    def mangled(self, now: float, target: str) -> None:
        """Ignores unsolicited data: a late response is no sign of a stall."""

    # Decisions.

    def _refusal(
        self, now: float, local: _LocalTarget, entry: queue.Entry
    ) -> errors.RequestError | None:
        """Returns why a request is refused, or None if it may start or wait."""
        refusal = self._crash_refusal(entry)
        if refusal is not None:
            return refusal
        if entry.repeated and not self._may_repeat():
            return _call_budget_used(entry)
        refusal = self._cold.refusal(now, entry.target, len(local.waiting))
        if refusal is not None:
            return refusal
        if self._alone(entry):
            if local.holders or local.waiting:
                return _busy(entry, self._drain_seconds(local))
            return None
        avoid = self._avoid_seconds(now, local, entry)
        if avoid:
            return _doubted(entry, avoid)
        free = len(local.holders) < local.slots and not local.waiting
        if (
            free
            and local.alone is None
            and not self._exceeds_unproven_limit(local, entry)
        ):
            return None
        if (
            entry.insist == exchange.REQUIRE_FREE_SLOT
            or self._would_miss_deadline(now, local, entry)
        ):
            return _busy(entry, self._drain_seconds(local))
        return None

    def _crash_refusal(self, entry: queue.Entry) -> errors.RequestError | None:
        """Returns why a request that crashes targets is refused.

        The instance that sent it here may not know of the crashes yet.
        """
        return self._crashes.refusal(entry.account, entry.fingerprint)

    def _exceeds_unproven_limit(
        self, local: _LocalTarget, entry: queue.Entry
    ) -> bool:
        """Returns whether too many non-repeatable requests are at risk.

        See `UNPROVEN_SHARE`. The limit does not apply once the entry insists.
        """
        if entry.repeatable or entry.insist > exchange.REQUIRE_FREE_SLOT:
            return False
        most = math.ceil(UNPROVEN_SHARE * local.slots)
        return local.breaker.unconfirmed() >= most

    def _avoid_seconds(
        self, now: float, local: _LocalTarget, entry: queue.Entry
    ) -> float:
        """Returns for how many seconds to avoid the target; 0 if usable."""
        breaker = local.breaker
        state = breaker.state(now)
        self._log_suspension(now, entry.target, local, state)
        if state is target_breaker.BreakerState.SUSPENDED:
            trial = breaker.allows_trial(now) and (
                entry.repeatable or entry.insist > exchange.REQUIRE_FREE_SLOT
            )
            if trial or entry.insist > exchange.ALLOW_QUEUEING:
                return 0.0
            return AVOID_SUSPENDED_SECONDS
        if entry.insist > exchange.REQUIRE_FREE_SLOT:
            return 0.0
        doubted = state is target_breaker.BreakerState.DOUBTED
        if doubted and entry.repeatable and breaker.allows_trial(now):
            return 0.0
        if doubted or (not entry.repeatable and breaker.has_slow_request(now)):
            return AVOID_DOUBTED_SECONDS
        return 0.0

    def _log_suspension(
        self,
        now: float,
        target: str,
        local: _LocalTarget,
        state: target_breaker.BreakerState,
    ) -> None:
        """Logs the start or the end of a target's suspension."""
        suspended = state is target_breaker.BreakerState.SUSPENDED
        if suspended == local.suspended:
            return
        local.suspended = suspended
        ages = [round(now - run.started, 3) for run in local.breaker.running]
        _log.info(
            "a target is suspended."
            if suspended
            else "a target is no longer suspended.",
            target=target,
            failures=dict(local.breaker.reasons),
            running_seconds=sorted(ages, reverse=True)[:8],
        )
        local.breaker.reasons.clear()

    def _would_miss_deadline(
        self, now: float, local: _LocalTarget, entry: queue.Entry
    ) -> bool:
        """Returns whether a queued request would end after its deadline."""
        ahead = sum(w.entry.priority <= entry.priority for w in local.waiting)
        usual = self._usual.seconds(entry.objective)
        wait = (ahead + 1) * usual / local.slots
        return now + wait + usual > entry.deadline

    def _deadline_unreachable(self, now: float, entry: queue.Entry) -> bool:
        """Returns whether less than half the usual run time is left."""
        usual = self._usual.seconds(entry.objective)
        return now + usual / 2 > entry.deadline

    def _drain_seconds(self, local: _LocalTarget) -> float:
        """Returns the estimated seconds until the queue has drained."""
        objectives = [w.entry.objective for w in local.waiting]
        objectives += [entry.objective for entry in local.holders]
        if not objectives:
            return 0.0
        mean = sum(map(self._usual.seconds, objectives)) / len(objectives)
        return mean * (1 + len(local.waiting)) / local.slots

    def _trim_queue(self, now: float, local: _LocalTarget) -> None:
        """Refuses the least urgent requests beyond the queue limit."""
        while len(local.waiting) > MAX_QUEUED_PER_SLOT * local.slots:
            last = max(local.waiting, key=_urgency)
            local.waiting.remove(last)
            last.reject(_busy(last.entry, self._drain_seconds(local)))

    def _grant(self, now: float, local: _LocalTarget) -> None:
        while local.waiting and local.alone is None:
            if len(local.holders) >= local.slots:
                return
            first = min(local.waiting, key=_urgency)
            refusal = self._crash_refusal(first.entry)
            if refusal is not None:
                local.waiting.remove(first)
                first.reject(refusal)
                continue
            alone = self._alone(first.entry)
            if alone and local.holders:
                return
            wait = self._cold.admit(now)
            if wait and not self._deadline_unreachable(now + wait, first.entry):
                return
            local.waiting.remove(first)
            if wait:
                target = first.entry.target
                first.reject(self._cold.refusal_waiting(target, wait))
                continue
            local.holders.add(first.entry)
            if alone:
                local.alone = first.entry
            first.start()

    def _local_target(self, target: str) -> _LocalTarget:
        local = self._targets.get(target)
        if local is None:
            local = _LocalTarget(
                target_breaker.CircuitBreaker(
                    self._usual, self._downstream.late_seconds
                )
            )
            self._targets[target] = local
        return local


def _urgency(waiting: _Waiting) -> tuple[int, float]:
    return waiting.entry.priority, waiting.entry.deadline


def _objective(request: exchange.OpenRequest) -> float:
    return request.objective or request.timeout


def _retry_after(seconds: float) -> float:
    """Returns the `Retry-After` of a refusal in seconds.

    The minimum spreads out the retries of several refused callers.
    """
    return max(MIN_RETRY_AFTER_SECONDS, seconds)


# Seconds for which an entry avoids a target after a refusal. A doubt may come
# from a long request, which ends by itself; gray failures last some seconds.
AVOID_DOUBTED_SECONDS = 0.25
AVOID_SUSPENDED_SECONDS = 1.0
# A client that retries sooner finds the same queue.
MIN_RETRY_AFTER_SECONDS = 0.1
# Within this time a retry budget refills by several retries.
CALL_BUDGET_RETRY_AFTER_SECONDS = 1.0


def _busy(entry: queue.Entry, wait: float) -> errors.RequestError:
    return errors.TargetBusyError(
        f"All slots of target {entry.target} are in use; retry later.",
        retry_after=_retry_after(wait),
    )


def _call_budget_used(entry: queue.Entry) -> errors.RequestError:
    return errors.CallBudgetUsedError(
        f"The retry budgets of the services that target {entry.target} "
        "calls are exhausted; retry later.",
        retry_after=CALL_BUDGET_RETRY_AFTER_SECONDS,
    )


def _doubted(entry: queue.Entry, seconds: float) -> errors.RequestError:
    return errors.TargetDoubtedError(
        f"Target {entry.target} may be stalled; retry on another target.",
        retry_after=seconds,
    )
