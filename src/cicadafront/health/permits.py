"""Ejection permits of one service, issued by the owner of its shard.

A permit is a lease that allows an agent to eject a target for a few seconds.
The owner counts its duration from the receipt of the request and the agent
from sending it, so that the permit expires at the agent first. Messages may be
delayed and reordered. An agent therefore numbers its requests, and a release
invalidates all requests up to its number.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from cicadafront import model

PERMIT_SECONDS = 5.0
# A target that starts or returns is cold and does not count as healthy capacity
# for this time.
WARM_SECONDS = 10.0
# Allows for clock rates of owners that differ by up to 2% over one permit.
CLOCK_MARGIN_SECONDS = 0.1
# Rounding tolerance for comparing sums of slots times weight with a fraction of
# the slots.
_ROUNDING = 1e-9
# Exceeds the maximum delay of a message.
_RELEASE_MEMORY_SECONDS = 60.0


@attrs.frozen
class Granted:
    """The target may be ejected.

    Attributes:
        until: Expiry of the permit by the owner's clock, in seconds.
        epoch: Epoch of the owner.
    """

    until: float
    epoch: int


@attrs.frozen
class Denied:
    """The target must stay in service; the reason is only logged."""

    reason: str


Answer = Granted | Denied


def healthy_slots(
    now: float, target: model.Target, reachable: Callable[[str], bool]
) -> float:
    """Returns the number of slots that count as healthy capacity.

    Dead, leaving, cold, ejected and unreachable targets have none. For other
    targets, the slots are multiplied by the weight. Times are in seconds of the
    local clock.
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
        floor: Minimum fraction of the announced slots that must stay in
            service.
        epoch: Epoch of the owner.
        no_grants_until: Time, in seconds, before which no new permit is issued,
            because permits of the former owner may still be valid.
        authority_until: Time, in seconds, until which the ownership is
            confirmed.
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
        """Extends the confirmed ownership until a time, in seconds."""
        self.authority_until = max(self.authority_until, until)

    def update(
        self,
        now: float,
        targets: Iterable[model.Target],
        reachable: Callable[[str], bool],
    ) -> None:
        """Replaces the known targets of the service.

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
            slots: Slots of the target; used if the owner does not know it yet.
            serial: Sequence number of the request, which increases with each
                request of the agent, also across its restarts.
            running: Whether the target is ejected under a permit that has not
                expired and that a former owner may have issued.
        """
        if now >= self.authority_until:
            return Denied("ownership is not confirmed")
        self._expire(now)
        held = self._permits.get(target)
        if held is not None and held.recalled:
            return Denied("permit has been recalled")
        released = self._releases.get(target)
        if released is not None and serial <= released.serial:
            return Denied("request is older than a release")
        if now < self.no_grants_until and held is None and not running:
            return Denied("permits of the former owner may still be valid")
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
        """Ends the permit if its request number is at most `serial`."""
        known = self._releases.get(target)
        if known is None or known.serial < serial:
            self._releases[target] = _Release(serial, now)
        held = self._permits.get(target)
        if held is not None and held.serial <= serial:
            del self._permits[target]

    def recalls(self, now: float) -> list[str]:
        """Returns targets whose permits are recalled, newest first.

        A target is returned until its permit ends, because messages may be
        lost.
        """
        self._expire(now)
        left = sum(self._healthy.values())
        for target in self._permits:
            left -= self._healthy.get(target, 0.0)
        for target in self._recently_released(now):
            # The record of the target may not show its return yet.
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
        """Returns the expiry time of each valid permit, by target."""
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
        """Returns released targets that may still be cold or gray."""
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
