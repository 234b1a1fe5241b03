"""Detects gray failure of one target from the outcomes of its requests.

Each kind of evidence is a cumulative sum that rises with bad outcomes and
falls with good ones, so that the detection time depends on the number of
outcomes and not on a time window. A target is found gray only after most of
the other targets have sent a report that is newer than its alarm. When the
whole service degrades, their evidence rises as well and no target is ejected.
"""

import collections
import math

import attrs

from cicadafront.health import evidence, outcomes
from cicadafront.health import reference as references
from cicadafront.health.evidence import Signal

# Latency samples per route from which the quantiles of a summary are taken.
SAMPLES = 64
MAX_ROUTES = 32
# A cold target may be slow for this time after its start without being gray.
COLD_SECONDS = 10.0
# A response is slow if it exceeds the p90 of the other targets by this factor
# and by this time. Targets of one service differ in speed, and on fast routes
# latencies differ by scheduling delays alone.
SLOW_FACTOR = 1.5
SLOW_MARGIN_SECONDS = 0.005
# A target is slow if its slowdown exceeds that of the others by the factor
# exp(margin + noise / sqrt(n)) for n latencies. The upper quartile of n
# lognormal latencies (sigma 0.5) varies by about 0.68 / sqrt(n); the noise term
# is three times that.
SLOWDOWN_MARGIN = 0.45
SLOWDOWN_NOISE = 2.0
MAX_RATIO_SAMPLES = 64
MIN_RATIO_SAMPLES = 4
# Time constant of the baseline latencies to which the slowdown is relative.
# All agents derive the same baseline. It is long enough that the baseline
# hardly changes during the onset of a slowdown.
BASELINE_SECONDS = 30.0
# A running request counts as stalled only if its age exceeds the recent latency
# at the other targets by this factor.
STALL_SLOWDOWN_FACTOR = 2.0
# A running request counts as stalled only if its age exceeds the p99 of the
# other targets by this factor.
STALL_FACTOR = 4.0
STALL_MIN_SECONDS = 0.25
# While no request completes, each multiple of the stall limit adds evidence, up
# to this many steps. A single long request never reaches the alarm level
# (3 * 2.7 < 12).
STALL_STEPS = 3
STALL_EVIDENCE = 2.7
# Requests that were cancelled while stalled count for this long. Entries cancel
# a hedged request after 1 s and send the target few requests, so that stalled
# requests occur one after the other and not at the same time.
CANCELLED_SECONDS = 4.0
MAX_CANCELLED = 16
# Weight of the evidence against the other targets. If a whole service is evenly
# slow, the evidence of the others is by chance lower than that of the first
# target that reaches the alarm level.
OTHERS_FACTOR = 2.0
# Factor on the alarm level while no other target has enough requests to
# compare with.
NO_REFERENCE_FACTOR = 1.5
# Maximum age of a report that is compared with current evidence. If a service
# is evenly slow, the evidence changes noticeably within 0.1 s.
FRESH_SECONDS = 0.2
# A target with failed exchanges is found gray without recent reports after this
# time.
FAULT_REPORT_TIMEOUT_SECONDS = 0.3
RECENT_SECONDS = 4.0
# Alarm level of a target that returns from an ejection. It is more likely to be
# gray than other targets, so half the evidence suffices.
RETURN_ALARM = evidence.ALARM / 2
LOWEST_SUSPICIOUS_WEIGHT = 0.25


@attrs.frozen
class Healthy:
    """There is no significant evidence against the target."""


@attrs.frozen
class Suspicious:
    """There is some evidence; the target should get less load.

    Attributes:
        weight: Share of the usual load.
        report_window: If not None, reports of the other targets are needed,
            with their slowdown over this many last seconds.
    """

    weight: float
    report_window: float | None = None


@attrs.frozen
class Gray:
    """The target must be ejected."""

    reason: str


Verdict = Healthy | Suspicious | Gray


@attrs.define
class _Running:
    started: float
    route: bytes


class Detector:
    """Detects gray failure of one target.

    Attributes:
        target: Id of the target.
        alarm: Evidence at which the target is suspected of gray failure; lower
            after its return from an ejection.
    """

    def __init__(self, target: str, warm_since: float = -math.inf) -> None:
        self.target = target
        self.alarm = evidence.ALARM
        self._warm_at = warm_since + COLD_SECONDS
        self._running: dict[int, _Running] = {}
        self._answered: dict[int, _Running] = {}
        # End time and request of those cancelled before their response began.
        self._cancelled: collections.deque[tuple[float, _Running]] = (
            collections.deque(maxlen=MAX_CANCELLED)
        )
        self._started: collections.deque[float] = collections.deque(maxlen=64)
        self._routes: dict[bytes, collections.deque[float]] = {}
        # Start time, and latency divided by the baseline.
        self._recent_ratios: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_RATIO_SAMPLES)
        )
        self._completed_at = -math.inf
        self._reference = references.Reference()
        self._baselines: dict[bytes, float] = {}
        self._evaluated_at = 0.0
        self._sums: dict[Signal, evidence.Cusum] = {}
        self._alarmed_at: dict[Signal, float] = {}
        self.reset()

    def reset(self, alarm: float = evidence.ALARM) -> None:
        """Discards all evidence, such as after an ejection."""
        self.alarm = alarm
        self._sums = {
            Signal.FAULTS: evidence.Cusum(0.02, 0.3),
            Signal.ERRORS: evidence.Cusum(0.02, 0.3),
            Signal.SLOW: evidence.Cusum(0.05, 0.6),
        }
        self._alarmed_at = {}
        self._running.clear()
        self._answered.clear()
        self._cancelled.clear()
        self._recent_ratios.clear()

    def started(self, now: float, request: outcomes.Request) -> None:
        """Records a request whose last byte was sent to the target."""
        key = references.route_key(request.route)
        self._running[request.serial] = _Running(now, key)
        self._started.append(now)

    def answered(self, request: outcomes.Request) -> None:
        """Records the start of a response.

        The request no longer counts as stalled, because the client may limit
        the speed of the rest of the response.
        """
        running = self._running.pop(request.serial, None)
        if running is not None:
            self._answered[request.serial] = running

    def finished(
        self, now: float, request: outcomes.Request, outcome: outcomes.Outcome
    ) -> None:
        """Records an outcome; ignores requests from before a `reset`."""
        answered = self._answered.pop(request.serial, None)
        running = answered or self._running.pop(request.serial, None)
        if running is None:
            return
        match outcome:
            case outcomes.Failed():
                self._sums[Signal.FAULTS].add(now, True)
            case outcomes.Cancelled() if answered is None:
                self._cancelled.append((now, running))
            case outcomes.Completed(status, seconds):
                self._completed(now, running, status, seconds)

    def _completed(
        self, now: float, running: _Running, status: int, seconds: float
    ) -> None:
        # Client errors are no evidence for or against the target.
        if 400 <= status < 500:
            return
        self._completed_at = now
        self._sums[Signal.FAULTS].add(now, False)
        self._sums[Signal.ERRORS].add(now, status >= 500)
        if status >= 500:
            return
        route = running.route
        samples = self._routes.get(route)
        if samples is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            samples = self._routes[route] = collections.deque(maxlen=SAMPLES)
        samples.append(seconds)
        if route in self._baselines:
            ratio = seconds / self._baselines[route]
            self._recent_ratios.append((running.started, ratio))
        usual = self._reference.routes.get(route)
        if usual is not None and now >= self._warm_at:
            limit = max(
                SLOW_FACTOR * usual.p90, usual.p90 + SLOW_MARGIN_SECONDS
            )
            self._sums[Signal.SLOW].add(now, seconds > limit, running.started)

    def level(self, now: float, signal: Signal) -> float:
        """Returns the current evidence of one kind."""
        if signal is Signal.STALLED:
            return self._stalled(now)
        return self._sums[signal].at(now)

    def _stalled(self, now: float, slowdown: float = 0.0) -> float:
        steps = sum(
            self._stall_steps(running, now - running.started, slowdown)
            for running in self._running.values()
        )
        steps += sum(
            self._stall_steps(running, ended - running.started, slowdown)
            for ended, running in self._cancelled
            if now - ended < CANCELLED_SECONDS
        )
        return min(evidence.LEVEL_CAP, steps * STALL_EVIDENCE)

    def _stall_steps(
        self, running: _Running, age: float, slowdown: float
    ) -> int:
        usual = self._reference.routes.get(running.route)
        if usual is None:
            return 0
        limit = max(
            STALL_FACTOR * usual.p99,
            STALL_MIN_SECONDS,
            STALL_SLOWDOWN_FACTOR * slowdown * self._baselines[running.route],
        )
        found = min(STALL_STEPS, int(age / limit))
        if self._completed_at >= running.started + limit:
            found = min(found, 1)
        return found

    def _onset(self, signal: Signal) -> float:
        if signal is Signal.STALLED:
            found = [running.started for running in self._running.values()]
            found += [running.started for _, running in self._cancelled]
            return min(found)
        return self._sums[signal].onset

    def _latency_ratios(self, now: float, since: float) -> list[float]:
        """Returns latencies divided by their baseline.

        Args:
            now: Time in seconds.
            since: Earliest start time of the requests, in seconds.
        """
        found = [ratio for time, ratio in self._recent_ratios if time >= since]
        for running in self._running.values():
            baseline = self._baselines.get(running.route)
            age = now - running.started
            if (
                baseline
                and running.started >= since
                and age > SLOW_FACTOR * baseline
            ):
                found.append(age / baseline)
        return found

    def _update_baselines(
        self, now: float, reference: references.Reference
    ) -> None:
        self._reference = reference
        share = min(1.0, max(0.0, now - self._evaluated_at) / BASELINE_SECONDS)
        self._evaluated_at = now
        for route, usual in reference.routes.items():
            known = self._baselines.get(route, usual.p90)
            self._baselines[route] = known + share * (usual.p90 - known)
        for route in self._baselines.keys() - reference.routes.keys():
            del self._baselines[route]

    def verdict(self, now: float, reference: references.Reference) -> Verdict:
        """Evaluates the evidence against the target.

        Called at least every 100 ms while the target has requests.

        Args:
            now: Time in seconds.
            reference: Reports of the other targets of the service.
        """
        self._update_baselines(now, reference)
        worst: Verdict = Healthy()
        for signal in Signal:
            found = self._evaluate(now, signal, reference)
            if isinstance(found, Gray):
                return found
            worst = _worse(worst, found)
        return worst

    def _evaluate(
        self, now: float, signal: Signal, others: references.Reference
    ) -> Verdict:
        level = self.level(now, signal)
        if level < self.alarm / 2:
            self._alarmed_at.pop(signal, None)
            return Healthy()
        if level < self.alarm:
            usual = others.level(signal, now - FRESH_SECONDS) or 0.0
            return self._suspicious(level - OTHERS_FACTOR * usual)
        alarmed = self._alarmed_at.setdefault(signal, now)
        since = max(alarmed, now - FRESH_SECONDS)
        if not others.others or not others.fresh(since):
            return self._without_reports(now, signal, others)
        if signal in (Signal.SLOW, Signal.STALLED):
            return self._evaluate_latency(now, signal, since, others)
        median = others.level(signal, since)
        if median is None and signal is Signal.ERRORS:
            return Healthy()
        if median is None:
            needed = NO_REFERENCE_FACTOR * self.alarm
        else:
            needed = self.alarm + OTHERS_FACTOR * median
        if level >= needed:
            return Gray(signal.name.lower())
        return self._suspicious(level - needed + self.alarm)

    def _evaluate_latency(
        self,
        now: float,
        signal: Signal,
        since: float,
        others: references.Reference,
    ) -> Verdict:
        usual = others.slowdown(since)
        if usual is None:
            if others.active_reports(since):
                # The others had requests, but sent no slowdown.
                return self._request_reports(now, signal)
            usual = 1.0
        if signal is Signal.STALLED:
            gray = self._stalled(now, usual) >= self.alarm
        else:
            gray = self._is_slower(now, usual)
        return Gray(signal.name.lower()) if gray else Healthy()

    def _is_slower(self, now: float, usual: float) -> bool:
        ratios = self._latency_ratios(now, self._onset(Signal.SLOW))
        if len(ratios) < MIN_RATIO_SAMPLES:
            return False
        margin = SLOWDOWN_MARGIN + SLOWDOWN_NOISE / math.sqrt(len(ratios))
        return _upper_quartile(ratios) >= math.exp(margin) * usual

    def _request_reports(self, now: float, signal: Signal) -> Suspicious:
        window = now - self._onset(signal)
        return Suspicious(LOWEST_SUSPICIOUS_WEIGHT, report_window=window)

    def _without_reports(
        self, now: float, signal: Signal, others: references.Reference
    ) -> Verdict:
        waited = now - self._alarmed_at[signal]
        if signal is Signal.FAULTS and (
            not others.others or waited >= FAULT_REPORT_TIMEOUT_SECONDS
        ):
            return Gray(signal.name.lower())
        if not others.others:
            return Healthy()
        return self._request_reports(now, signal)

    def _suspicious(self, excess: float) -> Verdict:
        share = (excess - self.alarm / 2) / (self.alarm / 2)
        if share < 0:
            return Healthy()
        weight = 1 - (1 - LOWEST_SUSPICIOUS_WEIGHT) * min(1.0, share)
        return Suspicious(weight)

    def summary(
        self, now: float, window: float | None = None
    ) -> references.Summary:
        """Returns the summary for the other agents of the service.

        Args:
            now: Time in seconds.
            window: Time span of the slowdown, in seconds; None to leave it out.
        """
        ratios = (
            [] if window is None else self._latency_ratios(now, now - window)
        )
        used = sorted(self._routes.items(), key=lambda item: -len(item[1]))
        levels = [self.level(now, signal) for signal in Signal]
        return references.Summary(
            references.target_key(self.target),
            (levels[0], levels[1], levels[2], levels[3]),
            sum(now - time <= RECENT_SECONDS for time in self._started),
            len(ratios),
            _upper_quartile(ratios) if ratios else 1.0,
            tuple(
                _route_summary(route, samples)
                for route, samples in used[: references.MAX_ROUTES]
            ),
        )


def _worse(first: Verdict, second: Verdict) -> Verdict:
    match first, second:
        case Suspicious(one, None), Suspicious(other, report_window):
            return Suspicious(min(one, other), report_window)
        case Suspicious(one, report_window), Suspicious(other, _):
            return Suspicious(min(one, other), report_window)
        case Healthy(), _:
            return second
        case _:
            return first


def _upper_quartile(values: list[float]) -> float:
    return sorted(values)[(3 * len(values)) // 4]


def _route_summary(
    route: bytes, samples: "collections.deque[float]"
) -> references.RouteSummary:
    ranked = sorted(samples)
    last = len(ranked) - 1
    return references.RouteSummary(
        route,
        len(ranked),
        ranked[round(0.9 * last)],
        ranked[round(0.99 * last)],
    )
