"""Ejection permits of one service, held by the owner of its shard.

A permit lets an agent take a target out of service for a few seconds. The
owner counts time from when it received the request and the agent from when it
sent it, so a permit ends first in the agent's view. Messages may be late and
change places: an agent numbers its requests, and a release voids all numbers
up to its own.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from cicadafront import model

PERMIT_SECONDS = 5.0
# A target that starts or returns is cold for this long and does not count.
WARM_SECONDS = 10.0
# Clocks of owners may run at rates that differ by up to 2% over one permit.
CLOCK_MARGIN_SECONDS = 0.1
# Sums of slots times weight are compared with a fraction of the slots.
_ROUNDING = 1e-9
# Longer than any message may be late.
_RELEASE_MEMORY_SECONDS = 60.0


@attrs.frozen
class Granted:
    """The target may be ejected.

    Attributes:
        until: End of the permit by the owner's clock, in seconds.
        epoch: Epoch of the owner.
    """

    until: float
    epoch: int


@attrs.frozen
class Denied:
    """The target must stay in service; the reason is for logs."""

    reason: str


Answer = Granted | Denied


def healthy_slots(
    now: float, target: model.Target, reachable: Callable[[str], bool]
) -> float:
    """Returns the slots of a target that count as healthy capacity.

    Dead, leaving, cold, ejected and unreachable targets have none; a target
    with a low weight has that share. Times are seconds of the reader's clock.
    """
    if target.state is not model.TargetState.SERVING:
        return 0.0
    if now - target.warm_since < WARM_SECONDS:
        return 0.0
    if not reachable(target.instance):
        return 0.0
    return target.slots * min(1.0, target.weight)


@attrs.define
class _Permit:
    until: float
    issued: float
    serial: int
    recalled: bool = False


@attrs.frozen
class _Release:
    serial: int
    time: float


class Permits:
    """Permits of one service under one epoch of ownership.

    Attributes:
        floor: Fraction of the announced slots that ejection must leave.
        epoch: Epoch of the owner.
        no_grants_until: Time before which nothing is issued, because permits of
            the former owner may still run.
        authority_until: Time until which the ownership is confirmed.
    """

    def __init__(
        self, floor: float, epoch: int, former_authority_end: float
    ) -> None:
        self.floor = floor
        self.epoch = epoch
        self.no_grants_until = (
            former_authority_end + PERMIT_SECONDS + CLOCK_MARGIN_SECONDS
        )
        self.authority_until = -math.inf
        self._announced = 0
        self._healthy: dict[str, float] = {}
        self._slots: dict[str, int] = {}
        self._permits: dict[str, _Permit] = {}
        self._releases: dict[str, _Release] = {}

    def confirm(self, until: float) -> None:
        """Extends the time for which this instance acts as the owner."""
        self.authority_until = max(self.authority_until, until)

    def update(
        self,
        now: float,
        targets: Iterable[model.Target],
        reachable: Callable[[str], bool],
    ) -> None:
        """Takes the present targets of the service.

        Targets that are dead but not yet removed still count as announced.
        """
        found = [
            target
            for target in targets
            if target.state is not model.TargetState.LEAVING
        ]
        self._slots = {target.id: target.slots for target in found}
        self._announced = sum(self._slots.values())
        self._healthy = {
            target.id: healthy_slots(now, target, reachable) for target in found
        }

    def request(
        self,
        now: float,
        target: str,
        slots: int,
        serial: int,
        running: bool = False,
    ) -> Answer:
        """Grants or renews a permit.

        Args:
            now: Time of receipt, in seconds.
            target: Target to eject.
            slots: Its slots, for an owner that has no record of it yet.
            serial: Number of the request, which grows with each request of
                the agent and across its restarts.
            running: Whether the target is ejected under a permit that has
                not ended, perhaps of the former owner.
        """
        if now >= self.authority_until:
            return Denied("ownership is not confirmed")
        self._expire(now)
        held = self._permits.get(target)
        if held is not None and held.recalled:
            return Denied("permit is recalled")
        released = self._releases.get(target)
        if released is not None and serial <= released.serial:
            return Denied("request is older than a release")
        if now < self.no_grants_until and held is None and not running:
            return Denied("permits of the former owner may still run")
        announced = self._announced
        if target not in self._healthy:
            announced += slots
        if (
            self._remaining_slots(now, target) + _ROUNDING
            < self.floor * announced
        ):
            return Denied("healthy capacity would fall below the floor")
        until = now + PERMIT_SECONDS
        issued = now if held is None else held.issued
        self._permits[target] = _Permit(until, issued, serial)
        return Granted(until, self.epoch)

    def release(self, now: float, target: str, serial: int) -> None:
        """Ends the permits of requests up to a number."""
        known = self._releases.get(target)
        if known is None or known.serial < serial:
            self._releases[target] = _Release(serial, now)
        held = self._permits.get(target)
        if held is not None and held.serial <= serial:
            del self._permits[target]

    def recalls(self, now: float) -> list[str]:
        """Returns targets whose permits end early, newest first.

        The list repeats while the permits run, as messages may be lost.
        """
        self._expire(now)
        left = sum(self._healthy.values())
        for target in self._permits:
            left -= self._healthy.get(target, 0.0)
        for target in self._recently_released(now):
            # Its record may not show yet that it is back.
            left += self._slots.get(target, 0) - self._healthy.get(target, 0.0)
        needed = self.floor * self._announced - _ROUNDING
        newest = sorted(
            self._permits, key=lambda target: -self._permits[target].issued
        )
        for target in newest:
            if left >= needed:
                break
            self._permits[target].recalled = True
            left += self._slots.get(target, 0)
        return [target for target in newest if self._permits[target].recalled]

    def running(self, now: float) -> dict[str, float]:
        """Returns the end of each permit that runs."""
        self._expire(now)
        return {target: held.until for target, held in self._permits.items()}

    def _remaining_slots(self, now: float, without: str) -> float:
        gone = {without, *self._permits, *self._recently_released(now)}
        return sum(
            slots
            for target, slots in self._healthy.items()
            if target not in gone
        )

    def _recently_released(self, now: float) -> list[str]:
        """Targets that were just released; they are cold or still gray."""
        return [
            target
            for target, release in self._releases.items()
            if now - release.time < WARM_SECONDS and target not in self._permits
        ]

    def _expire(self, now: float) -> None:
        ended = [t for t, held in self._permits.items() if held.until <= now]
        for target in ended:
            del self._permits[target]
        self._releases = {
            target: release
            for target, release in self._releases.items()
            if now - release.time < _RELEASE_MEMORY_SECONDS
        }
