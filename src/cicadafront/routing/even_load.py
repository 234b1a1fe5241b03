"""Load balancing in large fleets, by the expected use of each target.

An entry of a large fleet hears of a target seldom, and the other entries send
there meanwhile. A report is therefore worth less the older it is: the expected
use moves from the reported one to the usual one of all targets, within about
the time that a request takes. `docs/design/even-load.md` has the alternatives.
"""

import collections
import math
import random
from collections.abc import Callable, Sequence

import attrs

from cicadafront import model
from cicadafront.peer import exchange
from cicadafront.routing import picker

# Time of a request at a target that has reported none yet.
DEFAULT_SERVICE_SECONDS = 0.1
# Use that is expected of a target before any report has arrived.
INITIAL_USE = 0.5
# Weight of one report in the usual use of all targets, and the largest use that
# counts there, so that a few targets with long queues do not hide the rest.
REPORT_WEIGHT = 0.02
MAX_REPORTED_USE = 1.5
# Spread of the random part of each estimate, as a fraction of the slots. It
# keeps entries with equal information from choosing the same target.
JITTER = 0.1
# Time for which a request without an answer counts as sent.
SENT_SECONDS = 2.0
# A target in another data centre is chosen only if the best local one has at
# least `picker.MAX_LOCAL_UTILISATION` of its slots in use, and the remote one
# this much less: bytes between data centres are expensive.
REMOTE_ADVANTAGE = 0.25
# Use that a target appears to have more if all its recent requests failed, and
# the time in which this fades. A target that fails fast has free slots.
FAILURE_USE = 2.0
FAILURE_SECONDS = 2.0
# Time for which a target with a reduced share is in or out. With a draw for
# each choice, an idle target that was left out would get the next request.
DRAW_SECONDS = 0.1
# Reports that are kept; old ones are dropped beyond.
MAX_REPORTS = 1024
REPORT_TTL_SECONDS = 10.0


_SLOW_START = picker.SlowStart()


def _always(now: float, instance: str) -> bool:
    return True


@attrs.define(eq=False)
class _Report:
    """What is known of one target.

    Attributes:
        time: Time of the report in seconds; None if there is none.
        load: Number of running and waiting requests.
        service: Usual time of a request in seconds.
        failed: Fraction of recent requests that failed.
        sent: Requests sent since the report.
        sent_at: Time of the last of these.
    """

    time: float | None = None
    load: int = 0
    service: float = DEFAULT_SERVICE_SECONDS
    failed: float = 0.0
    sent: int = 0
    sent_at: float = 0.0


class EvenLoad:
    """Selects targets for one entry; implements `edge.policies.Picker`.

    Args:
        rng: Random source.
        targets: Returns the targets of a service, in any state.
        usable: Returns whether the direct path to an instance works at a
            time.
        data_centre: Data centre of this entry.
        slow_start: How the share of a target increases after its start.

    Attributes:
        counts: Choices by reason: `reported` and `unreported` in the own data
            centre, `remote` in another one, and `only` without alternative.
    """

    def __init__(
        self,
        rng: random.Random,
        targets: Callable[[str], Sequence[model.Target]],
        usable: Callable[[float, str], bool] = _always,
        data_centre: str = "",
        slow_start: picker.SlowStart = _SLOW_START,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._rng = rng
        self._targets = targets
        self._usable = usable
        self._data_centre = data_centre
        self._slow_start = slow_start
        self._usual_use = INITIAL_USE
        self._reports_seen = 0
        self._reports: dict[str, _Report] = {}
        # Time in seconds until which each of these targets is avoided.
        self._avoided: dict[str, float] = {}
        # End of the last draw of each target with a reduced share, and its
        # result.
        self._draws: dict[str, tuple[float, bool]] = {}
        # Slots of the targets last chosen from, to turn loads into uses.
        self._slots: dict[str, int] = {}

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        """Records the load that a response or a refusal reports."""
        report = self._report(target_id, now)
        report.time = now
        report.load = load.slots_in_use + load.queued - load.ending
        report.failed = load.failed_percent / 100
        report.sent = 0
        if load.service_ms:
            report.service = load.service_ms / 1000
        slots = self._slots.get(target_id)
        if slots is not None:
            use = min(MAX_REPORTED_USE, report.load / slots)
            # The first reports count more: an idle target would otherwise get
            # all requests of an entry that knows no other one.
            self._reports_seen += 1
            weight = max(REPORT_WEIGHT, 1 / self._reports_seen)
            self._usual_use += weight * (use - self._usual_use)

    def forget(self, target_id: str) -> None:
        """Drops what is known of a target that was removed."""
        self._reports.pop(target_id, None)
        self._slots.pop(target_id, None)
        self._draws.pop(target_id, None)

    def avoid_until(self, target_id: str, until: float) -> None:
        """Avoids a target until a time unless no other one is eligible."""
        self._avoided[target_id] = until

    def pick(
        self, service: str, exclude: frozenset[str], now: float
    ) -> model.Target | None:
        """Returns a target with a usable direct path, or None."""
        return self._pick(service, exclude, now, self._usable)

    def pick_for_relay(
        self, service: str, exclude: frozenset[str], now: float
    ) -> model.Target | None:
        """Returns a target regardless of its direct path, or None."""
        return self._pick(service, exclude, now, _always)

    def _pick(
        self,
        service: str,
        exclude: frozenset[str],
        now: float,
        usable: Callable[[float, str], bool],
    ) -> model.Target | None:
        eligible = [
            target
            for target in self._targets(service)
            if target.id not in exclude
            and target.state is model.TargetState.SERVING
            and target.weight > 0
            and usable(now, target.instance)
        ]
        if not eligible:
            return None
        if self._avoided:
            eligible = self._without_avoided(eligible, now) or eligible
        chosen, reason = self._choose(eligible, now)
        if len(eligible) == 1:
            reason = "only"
        self.counts[reason] += 1
        self._slots[chosen.id] = max(1, chosen.slots)
        report = self._report(chosen.id, now)
        report.sent = self._sent(report, now) + 1
        report.sent_at = now
        return chosen

    def _choose(
        self, eligible: Sequence[model.Target], now: float
    ) -> tuple[model.Target, str]:
        """Returns the target of the least expected use, and the reason."""
        best: dict[bool, tuple[float, model.Target]] = {}
        for target, share in self._drawn(eligible, now):
            use = self._use(target, share, now)
            # A target with a small share of its usual load gets no preference.
            local = (
                target.data_centre == self._data_centre
                and share >= picker.MIN_LOCAL_SHARE
            )
            if local not in best or use < best[local][0]:
                best[local] = use, target
        if True not in best or (
            False in best
            and best[True][0] >= picker.MAX_LOCAL_UTILISATION
            and best[False][0] + REMOTE_ADVANTAGE < best[True][0]
        ):
            target = best[False][1]
            if target.data_centre != self._data_centre:
                return target, "remote"
        else:
            target = best[True][1]
        report = self._reports.get(target.id)
        known = report is not None and report.time is not None
        return target, "reported" if known else "unreported"

    def _drawn(
        self, eligible: Sequence[model.Target], now: float
    ) -> list[tuple[model.Target, float]]:
        """Returns targets with their shares, each with that probability.

        A target that starts slowly, or has a low weight, thus gets at most its
        share of the requests, however idle it is.
        """
        ramp_end = now - self._slow_start.seconds
        drawn: list[tuple[model.Target, float]] = []
        for target in eligible:
            if target.weight >= 1 and target.warm_since <= ramp_end:
                drawn.append((target, 1.0))
                continue
            share = self._share(target, now)
            if self._is_drawn(target.id, share, now):
                drawn.append((target, share))
        return drawn or [(self._one_of(eligible, now), 1.0)]

    def _is_drawn(self, target_id: str, share: float, now: float) -> bool:
        until, drawn = self._draws.get(target_id, (0.0, False))
        if now >= until:
            drawn = self._rng.random() < share
            self._draws[target_id] = now + DRAW_SECONDS, drawn
        return drawn

    def _one_of(
        self, eligible: Sequence[model.Target], now: float
    ) -> model.Target:
        shares = [self._share(target, now) for target in eligible]
        return self._rng.choices(eligible, shares)[0]

    def _use(self, target: model.Target, share: float, now: float) -> float:
        """Returns the expected requests at a target per slot, with jitter."""
        usual = self._usual_use + JITTER * self._rng.random()
        report = self._reports.get(target.id)
        if report is None:
            return usual
        slots = max(1.0, target.slots * share)
        use = usual
        if report.time is not None:
            age = max(0.0, now - report.time)
            fresh = math.exp(-age / report.service)
            use += (report.load / slots - self._usual_use) * fresh
            if report.failed:
                fresh = max(0.0, 1 - age / FAILURE_SECONDS)
                use += FAILURE_USE * report.failed * fresh
        if report.sent:
            use += self._sent(report, now) / slots
        return use

    def _sent(self, report: _Report, now: float) -> int:
        return report.sent if now - report.sent_at < SENT_SECONDS else 0

    def _share(self, target: model.Target, now: float) -> float:
        age = max(0.0, now - target.warm_since)
        least = self._slow_start.weight
        ramp = least + (1 - least) * age / self._slow_start.seconds
        return target.weight * min(1.0, ramp)

    def _without_avoided(
        self, targets: Sequence[model.Target], now: float
    ) -> list[model.Target]:
        """Returns the targets that no agent has recently doubted."""
        self._avoided = {
            id: until for id, until in self._avoided.items() if until > now
        }
        return [t for t in targets if t.id not in self._avoided]

    def _report(self, target_id: str, now: float) -> _Report:
        report = self._reports.get(target_id)
        if report is None:
            if len(self._reports) >= MAX_REPORTS:
                self._drop_old(now)
            report = self._reports[target_id] = _Report()
        return report

    def _drop_old(self, now: float) -> None:
        """Drops the reports of targets that were not used for a while."""
        oldest = now - REPORT_TTL_SECONDS
        for id, report in list(self._reports.items()):
            if max(report.time or 0.0, report.sent_at) < oldest:
                self.forget(id)


class BySize:
    """Balances by expected use in large fleets, and as before in others.

    Both pickers learn from every report, so that a fleet that grows past the
    limit does not start without information.

    Args:
        small: Picker below the limit.
        large: Picker from the limit on.
        least: Returns the number of instances that is the limit; 0 if the
            fleet never counts as large.
        instances: Returns the number of known instances.
    """

    def __init__(
        self,
        small: picker.Picker,
        large: EvenLoad,
        least: Callable[[], int],
        instances: Callable[[], int],
    ):
        self._small = small
        self._large = large
        self._least = least
        self._instances = instances

    def pick(
        self, service: str, exclude: frozenset[str], now: float
    ) -> model.Target | None:
        """Returns a target with a usable direct path, or None."""
        return self._current().pick(service, exclude, now)

    def pick_for_relay(
        self, service: str, exclude: frozenset[str], now: float
    ) -> model.Target | None:
        """Returns a target regardless of its direct path, or None."""
        return self._current().pick_for_relay(service, exclude, now)

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        """Records the load that a response or a refusal reports."""
        self._small.observe(target_id, load, now)
        self._large.observe(target_id, load, now)

    def avoid_until(self, target_id: str, until: float) -> None:
        """Avoids a target until a time unless no other one is eligible."""
        self._small.avoid_until(target_id, until)
        self._large.avoid_until(target_id, until)

    def forget(self, target_id: str) -> None:
        """Drops what is known of a target that was removed."""
        self._small.forget(target_id)
        self._large.forget(target_id)

    def is_large(self) -> bool:
        """Returns whether the fleet counts as large now."""
        least = self._least()
        return 0 < least <= self._instances()

    def _current(self) -> picker.Picker | EvenLoad:
        return self._large if self.is_large() else self._small
