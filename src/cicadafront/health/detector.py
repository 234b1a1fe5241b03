"""Judges one target by its real work.

Each kind of evidence is a cumulative sum that rises with bad outcomes and
falls with good ones, so that the time to a verdict depends on the number of
outcomes and not on a window. A verdict of gray also needs a report of most
other targets that is younger than the alarm: when the whole service degrades,
their evidence rises as well and nobody is condemned.
"""

import collections
import math

import attrs

from cicadafront.health import evidence, outcomes
from cicadafront.health import reference as references
from cicadafront.health.evidence import Signal

# Samples per route from which a summary's quantiles are taken.
SAMPLES = 64
MAX_ROUTES = 32
# A target that starts cold is slow for this time without being gray.
COLD_SECONDS = 10.0
# A slow answer exceeds the others' p90 by this factor and this time; targets
# of one service differ in speed, and on fast routes by scheduling alone.
SLOW_FACTOR = 1.5
SLOW_MARGIN_SECONDS = 0.005
# A slow target's pace exceeds that of the others by exp(margin + noise /
# sqrt(n)) for n latencies. The upper quartile of n lognormal latencies (sigma
# 0.5) varies by about 0.68 / sqrt(n); the noise term is three times that.
SLOWDOWN_MARGIN = 0.45
SLOWDOWN_NOISE = 2.0
MAX_RATIO_SAMPLES = 64
MIN_RATIO_SAMPLES = 4
# Pace is measured against a baseline that all agents learn alike and that
# hardly moves while a slowdown sets in.
BASELINE_SECONDS = 30.0
# A running request of a stalled target is older than this many times the
# latency of requests that the others run or ran in the same time.
STALL_SLOWDOWN_FACTOR = 2.0
# A running request is evidence once it is this many reference p99 old.
STALL_FACTOR = 4.0
STALL_MIN_SECONDS = 0.25
# Each further multiple of the limit counts again, up to this many, while no
# request completes; a single long request never condemns a target
# (3 * 2.7 < 12).
STALL_STEPS = 3
STALL_EVIDENCE = 2.7
# Requests that were given up while they stalled count for this long. Entries
# give a hedged request up after 1 s and send the target little work, so that
# stalled requests follow one another instead of adding up.
ABANDONED_SECONDS = 4.0
MAX_ABANDONED = 16
# Others' evidence counts double: at the moment at which the first of several
# evenly slow targets raises its alarm, the others lag behind by chance.
OTHERS_FACTOR = 2.0
# Evidence needed when no other target has had work to compare with.
NO_REFERENCE_FACTOR = 1.5
# Reports of the others that are older are not compared with the present:
# the evidence against an evenly slow service grows by the tenth of a second.
FRESH_SECONDS = 0.2
# Broken answers condemn a target without fresh reports after this time.
FAULT_REPORT_TIMEOUT_SECONDS = 0.3
RECENT_SECONDS = 4.0
# A target that was ejected is likelier to be gray than any other: half the
# evidence condemns it while it returns.
RETURN_ALARM = evidence.ALARM / 2
LOWEST_SUSPICIOUS_WEIGHT = 0.25


@attrs.frozen
class Healthy:
    """Nothing speaks against the target."""


@attrs.frozen
class Suspicious:
    """Some evidence; the target should get less work.

    Attributes:
        weight: Share of the usual load.
        ask: If not None, reports of the other targets are needed, on their
            pace in this many last seconds.
    """

    weight: float
    ask: float | None = None


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
    """Collects outcomes of one target.

    Attributes:
        target: Id of the target.
        alarm: Evidence needed for a verdict of gray; lower while a target
            that was ejected returns.
    """

    def __init__(self, target: str, warm_since: float = -math.inf) -> None:
        self.target = target
        self.alarm = evidence.ALARM
        self._warm_at = warm_since + COLD_SECONDS
        self._running: dict[int, _Running] = {}
        self._answered: dict[int, _Running] = {}
        # End and request of those given up before their answer began.
        self._abandoned: collections.deque[tuple[float, _Running]] = (
            collections.deque(maxlen=MAX_ABANDONED)
        )
        self._started: collections.deque[float] = collections.deque(maxlen=64)
        self._routes: dict[bytes, collections.deque[float]] = {}
        # Start and latency over baseline.
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
        """Forgets all evidence, as after an ejection."""
        self.alarm = alarm
        self._sums = {
            Signal.FAULTS: evidence.Cusum(0.02, 0.3),
            Signal.ERRORS: evidence.Cusum(0.02, 0.3),
            Signal.SLOW: evidence.Cusum(0.05, 0.6),
        }
        self._alarmed_at = {}
        self._running.clear()
        self._answered.clear()
        self._abandoned.clear()
        self._recent_ratios.clear()

    def started(self, now: float, request: outcomes.Request) -> None:
        """Counts a request from when its last byte went to the target."""
        key = references.route_key(request.route)
        self._running[request.serial] = _Running(now, key)
        self._started.append(now)

    def answered(self, request: outcomes.Request) -> None:
        """Stops to look for a stall: the caller paces the rest."""
        running = self._running.pop(request.serial, None)
        if running is not None:
            self._answered[request.serial] = running

    def finished(
        self, now: float, request: outcomes.Request, outcome: outcomes.Outcome
    ) -> None:
        """Counts the outcome; unknown requests (see `reset`) are ignored."""
        answered = self._answered.pop(request.serial, None)
        running = answered or self._running.pop(request.serial, None)
        if running is None:
            return
        match outcome:
            case outcomes.Failed():
                self._sums[Signal.FAULTS].add(now, True)
            case outcomes.Cancelled() if answered is None:
                self._abandoned.append((now, running))
            case outcomes.Completed(status, seconds):
                self._completed(now, running, status, seconds)

    def _completed(
        self, now: float, running: _Running, status: int, seconds: float
    ) -> None:
        # A caller's mistakes must neither condemn nor acquit a target.
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
        """Returns the evidence of one kind."""
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
            for ended, running in self._abandoned
            if now - ended < ABANDONED_SECONDS
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
            found += [running.started for _, running in self._abandoned]
            return min(found)
        return self._sums[signal].onset

    def _latency_ratios(self, now: float, since: float) -> list[float]:
        """Returns latencies over the baseline of requests since a time."""
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
        """Judges the target; called at least every 100 ms while it works."""
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
                # The others had work, but their reports do not tell its pace.
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
        return Suspicious(LOWEST_SUSPICIOUS_WEIGHT, ask=window)

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
        """Returns what the other agents of the service need to know.

        An agent that asks names the window of its verdict, in seconds.
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
        case Suspicious(one, None), Suspicious(other, ask):
            return Suspicious(min(one, other), ask)
        case Suspicious(one, ask), Suspicious(other, _):
            return Suspicious(min(one, other), ask)
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
