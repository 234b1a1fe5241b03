"""Load balancing: selects targets by the power of two random choices."""

import random
from collections.abc import Callable, Sequence

import attrs

from cicadafront import model
from cicadafront.peer import exchange

# Slow start: a target starts with this share of its weight; the share rises
# to 1 within this time.
SLOW_START_SECONDS = 10.0
SLOW_START_WEIGHT = 0.1
# Targets in other data centres are considered once the selected target of the
# local data centre has this share of its slots in use.
MAX_LOCAL_UTILISATION = 0.8
# A local target whose weight is below this share of its usual weight gets no
# preference over other data centres. Otherwise a gray target could receive
# every local request.
MIN_LOCAL_SHARE = 0.5
# Age at which a load report is ignored; until then its weight falls linearly.
LOAD_REPORT_TTL_SECONDS = 2.0


@attrs.frozen
class SlowStart:
    """How the weight of a target increases after its start.

    Attributes:
        seconds: Time until the target has its full weight.
        weight: Initial share of the weight, above 0 and at most 1.
    """

    seconds: float = SLOW_START_SECONDS
    weight: float = SLOW_START_WEIGHT


def _always(now: float, instance: str) -> bool:
    return True


@attrs.define
class _LoadEstimate:
    time: float
    in_use: float
    sent: int = 0

    def at(self, now: float) -> float:
        """Returns the estimated number of running and queued requests."""
        fresh = max(0.0, 1 - (now - self.time) / LOAD_REPORT_TTL_SECONDS)
        return self.in_use * fresh + self.sent


class Picker:
    """Selects targets for one entry.

    Args:
        rng: Random source.
        targets: Returns the targets of a service that this entry uses, in
            any state.
        usable: Returns whether the direct path to an instance works at a
            time.
        data_centre: Data centre of this entry.
        slow_start: How the weight of a target increases after its start.
    """

    def __init__(
        self,
        rng: random.Random,
        targets: Callable[[str], Sequence[model.Target]],
        usable: Callable[[float, str], bool] = _always,
        data_centre: str = "",
        slow_start: SlowStart = SlowStart(),
    ) -> None:
        self._rng = rng
        self._targets = targets
        self._usable = usable
        self._data_centre = data_centre
        self._slow_start = slow_start
        self._loads: dict[str, _LoadEstimate] = {}
        # Time in seconds until which each of these targets is avoided.
        self._avoided: dict[str, float] = {}

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        """Records the load that a response or a refusal reports."""
        in_use = float(load.slots_in_use + load.queued)
        self._loads[target_id] = _LoadEstimate(now, in_use)

    def forget(self, target_id: str) -> None:
        """Drops the load of a target that was removed."""
        self._loads.pop(target_id, None)

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

    def avoid_until(self, target_id: str, until: float) -> None:
        """Avoids a target until a time unless no other one is eligible."""
        self._avoided[target_id] = until

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
            if target.state is model.TargetState.SERVING
            and target.weight > 0
            and target.id not in exclude
            and usable(now, target.instance)
        ]
        if not eligible:
            return None
        eligible = self._without_avoided(eligible, now) or eligible
        local = [
            target
            for target in eligible
            if target.data_centre == self._data_centre
            and self._share(target, now) >= MIN_LOCAL_SHARE
        ]
        chosen = self._pick_less_loaded(local, now) if local else None
        if (
            chosen is None
            or self._utilisation(chosen, now) >= MAX_LOCAL_UTILISATION
        ):
            chosen = self._pick_less_loaded(eligible, now)
        load = self._loads.setdefault(chosen.id, _LoadEstimate(now, 0.0))
        if now - load.time > LOAD_REPORT_TTL_SECONDS:
            load = self._loads[chosen.id] = _LoadEstimate(now, 0.0)
        load.sent += 1
        return chosen

    def _pick_less_loaded(
        self, targets: Sequence[model.Target], now: float
    ) -> model.Target:
        weights = [self._weight(target, now) for target in targets]
        pair = self._rng.choices(targets, weights, k=2)
        # If both draws give the same target, draw the second one from the rest.
        if pair[0].id == pair[1].id and len(targets) > 1:
            rest = [
                (target, weight)
                for target, weight in zip(targets, weights, strict=True)
                if target.id != pair[0].id
            ]
            drawn = self._rng.choices(
                [target for target, _ in rest], [weight for _, weight in rest]
            )[0]
            # A second draw must not raise the traffic of low-weight targets.
            first_weight = self._weight(pair[0], now)
            if self._weight(drawn, now) >= first_weight / 2:
                pair[1] = drawn
        return min(pair, key=lambda target: self._utilisation(target, now))

    def _utilisation(self, target: model.Target, now: float) -> float:
        load = self._loads.get(target.id)
        if load is None:
            return 0.0
        return load.at(now) / max(1, target.slots)

    def _without_avoided(
        self, targets: Sequence[model.Target], now: float
    ) -> list[model.Target]:
        """Returns the targets that no agent has recently doubted."""
        if not self._avoided:
            return list(targets)
        self._avoided = {
            id: until for id, until in self._avoided.items() if until > now
        }
        return [t for t in targets if t.id not in self._avoided]

    def _weight(self, target: model.Target, now: float) -> float:
        return target.slots * self._share(target, now)

    def _share(self, target: model.Target, now: float) -> float:
        age = max(0.0, now - target.warm_since)
        least = self._slow_start.weight
        ramp = least + (1 - least) * age / self._slow_start.seconds
        return target.weight * min(1.0, ramp)
