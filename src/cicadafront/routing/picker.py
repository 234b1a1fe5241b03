"""Chooses a target for each request: power of two choices by load."""

import random
from collections.abc import Callable, Sequence

import attrs

from cicadafront import model
from cicadafront.peer import exchange

# Weight of a target that has just started, rising to 1.
COLD_SECONDS = 10.0
COLD_WEIGHT = 0.1
# Targets elsewhere are used once the chosen local one has this share of its
# slots taken.
HEADROOM = 0.8
# A local target whose weight is below this share of its usual one is chosen
# by weight among all, or a gray one would get every local request.
LOCAL_SHARE = 0.5
# A report of load is worth nothing after this time.
LOAD_SECONDS = 2.0


@attrs.frozen
class Cold:
    """How the load of a target grows after its start.

    Attributes:
        seconds: Time until it gets its whole share.
        weight: Share that it gets at first, above 0 and at most 1.
    """

    seconds: float = COLD_SECONDS
    weight: float = COLD_WEIGHT


def _always(now: float, instance: str) -> bool:
    return True


@attrs.define
class _Load:
    time: float
    in_use: float
    sent: int = 0

    def at(self, now: float) -> float:
        """Estimated requests at the target, running and queued."""
        fresh = max(0.0, 1 - (now - self.time) / LOAD_SECONDS)
        return self.in_use * fresh + self.sent


class Picker:
    """Chooses targets for one entry.

    Args:
        rng: Random source.
        targets: Returns the targets of a service that this entry uses, in
            any state.
        usable: Whether the direct path to an instance works at a time.
        data_centre: Data centre of this entry.
        cold: How the load of a target grows after its start.
    """

    def __init__(
        self,
        rng: random.Random,
        targets: Callable[[str], Sequence[model.Target]],
        usable: Callable[[float, str], bool] = _always,
        data_centre: str = "",
        cold: Cold = Cold(),
    ) -> None:
        self._rng = rng
        self._targets = targets
        self._usable = usable
        self._data_centre = data_centre
        self._cold = cold
        self._loads: dict[str, _Load] = {}
        # Targets to avoid, with the time until which.
        self._avoided: dict[str, float] = {}

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        """Takes the load that a response or a refusal carries."""
        in_use = float(load.slots_in_use + load.queued)
        self._loads[target_id] = _Load(now, in_use)

    def forget(self, target_id: str) -> None:
        """Drops a target that is gone."""
        self._loads.pop(target_id, None)

    def pick(
        self, service: str, exclude: frozenset[str], now: float
    ) -> model.Target | None:
        """Returns a target with a usable path, or None."""
        return self._pick(service, exclude, now, self._usable)

    def pick_for_relay(
        self, service: str, exclude: frozenset[str], now: float
    ) -> model.Target | None:
        """Returns a target whatever its direct path, or None."""
        return self._pick(service, exclude, now, _always)

    def avoid_until(self, target_id: str, until: float) -> None:
        """Avoids a target until a time, as far as there are others."""
        self._avoided[target_id] = until

    def _pick(
        self,
        service: str,
        exclude: frozenset[str],
        now: float,
        usable: Callable[[float, str], bool],
    ) -> model.Target | None:
        able = [
            target
            for target in self._targets(service)
            if target.state is model.TargetState.SERVING
            and target.weight > 0
            and target.id not in exclude
            and usable(now, target.instance)
        ]
        if not able:
            return None
        able = self._trusted(able, now) or able
        near = [
            target
            for target in able
            if target.data_centre == self._data_centre
            and self._share(target, now) >= LOCAL_SHARE
        ]
        chosen = self._lighter(near, now) if near else None
        if chosen is None or self._utilisation(chosen, now) >= HEADROOM:
            chosen = self._lighter(able, now)
        load = self._loads.setdefault(chosen.id, _Load(now, 0.0))
        if now - load.time > LOAD_SECONDS:
            load = self._loads[chosen.id] = _Load(now, 0.0)
        load.sent += 1
        return chosen

    def _lighter(
        self, targets: Sequence[model.Target], now: float
    ) -> model.Target:
        weights = [self._weight(target, now) for target in targets]
        pair = self._rng.choices(targets, weights, k=2)
        # Two draws of the same target would be no choice.
        if pair[0].id == pair[1].id and len(targets) > 1:
            rest = [
                (target, weight)
                for target, weight in zip(targets, weights, strict=True)
                if target.id != pair[0].id
            ]
            drawn = self._rng.choices(
                [target for target, _ in rest], [weight for _, weight in rest]
            )[0]
            # A target of low weight gets no second chance to be drawn.
            heavy = self._weight(pair[0], now)
            if self._weight(drawn, now) >= heavy / 2:
                pair[1] = drawn
        return min(pair, key=lambda target: self._utilisation(target, now))

    def _utilisation(self, target: model.Target, now: float) -> float:
        load = self._loads.get(target.id)
        if load is None:
            return 0.0
        return load.at(now) / max(1, target.slots)

    def _trusted(
        self, targets: Sequence[model.Target], now: float
    ) -> list[model.Target]:
        """Returns the targets that no agent doubted lately."""
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
        least = self._cold.weight
        ramp = least + (1 - least) * age / self._cold.seconds
        return target.weight * min(1.0, ramp)
