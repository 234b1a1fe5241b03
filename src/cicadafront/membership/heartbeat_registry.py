"""Registry of the target that an instance runs next to as a sidecar.

The target registers itself with heartbeats. Heartbeats may be delayed or
duplicated, and may come from an earlier incarnation or from another process.
Only the address and service that the settings name can belong to the target.
The newest incarnation at the target's address takes precedence, and within an
incarnation the highest heartbeat number.
"""

import collections
from collections.abc import Callable

import attrs

from cicadafront import model
from cicadafront.agent import targets as agent_targets
from cicadafront.membership import announce, records
from cicadafront.telemetry import logs

# Number of ended incarnations that are kept, so that delayed heartbeats do not
# register them again.
MAX_ENDED_INCARNATIONS = 64
# Heartbeats that are kept while a new process learns which targets have left.
# The target sends one every 1.5 s.
MAX_HELD_HEARTBEATS = 8
# Largest number of slots that a target may report.
MAX_SLOTS = 10_000
# A target is removed after this time without a heartbeat. Several heartbeats in
# a row may be lost while the target is partitioned.
HEARTBEAT_TIMEOUT_SECONDS = 30.0
# A target that was restored after a restart of this process is removed if it
# sends no heartbeat within this time. Targets send a heartbeat every 1.5 s. A
# target that was leaving when this process was killed may send none, and must
# not receive requests.
RESTORED_TIMEOUT_SECONDS = 1.6

_log = logs.Log("membership")


@attrs.frozen
class Heartbeat:
    """State that a target reports about itself.

    Attributes:
        target: Id of the target.
        service: Service that it belongs to.
        address: Host and port on which it listens.
        slots: Number of requests that it processes concurrently.
        state: Serving or leaving.
        number: Sequence number within the incarnation.
        incarnation: Increases with each start under the same id or address.
        warm_up_seconds: Seconds until it is warm; None if unknown.
    """

    target: str
    service: str
    address: tuple[str, int]
    slots: int
    state: model.TargetState
    number: int
    incarnation: int = 0
    warm_up_seconds: float | None = None


@attrs.define
class _CurrentTarget:
    heartbeat: Heartbeat
    last_seen: float
    leaving: bool = False
    restored: bool = False


class HeartbeatRegistry:
    """Implements `agent.targets.LocalTargets` for one target.

    Args:
        announcer: Publishes the target to the fleet.
        instance: Id of this instance.
        data_centre: Data centre of this instance.
        address: Host and port of the local target.
        service: Service of the local target.
        on_leaving: Called with the id of a target that takes no new requests.
        on_gone: Called with the id of a target that was removed.
        on_change: Called when a target is registered by a heartbeat, starts
            to leave or is removed.
        on_departed: Called with the id and incarnation of a target that has
            left, or whose address another one has taken over.
        on_heartbeat: Called with the time, a valid heartbeat, and whether it
            is the first one of its incarnation.

    Attributes:
        address: Host and port of the local target.
        service: Service of the local target, from the settings.
        counts: Number of ignored heartbeats and deregistrations, by reason.
    """

    def __init__(
        self,
        announcer: announce.TargetAnnouncer,
        instance: str,
        data_centre: str,
        address: tuple[str, int],
        service: str,
        on_leaving: Callable[[str], None] = lambda target: None,
        on_gone: Callable[[str], None] = lambda target: None,
        on_change: Callable[[], None] = lambda: None,
        on_departed: Callable[[str, int], None] = lambda target, number: None,
        on_heartbeat: Callable[[float, Heartbeat, bool], None] = (
            lambda now, heartbeat, new: None
        ),
    ):
        self.address = address
        self.service = service
        self.counts: collections.Counter[str] = collections.Counter()
        self._announcer = announcer
        self._instance = instance
        self._data_centre = data_centre
        self._on_leaving = on_leaving
        self._on_gone = on_gone
        self._on_change = on_change
        self._on_departed = on_departed
        self._on_heartbeat = on_heartbeat
        self._cold_starts = 0
        # Heartbeats that wait until it is known which targets have left.
        self._held: list[Heartbeat] | None = None
        self._current: _CurrentTarget | None = None
        self._ended: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def local(self, id: str) -> agent_targets.LocalTarget | None:
        """Returns a target, or None if it is not local to this instance."""
        current = self._current
        if current is None or current.heartbeat.target != id:
            return None
        heartbeat = current.heartbeat
        state = model.TargetState.SERVING
        if current.leaving:
            state = model.TargetState.LEAVING
        target = model.Target(
            heartbeat.target,
            heartbeat.service,
            self._instance,
            heartbeat.slots,
            state=state,
            data_centre=self._data_centre,
        )
        return agent_targets.LocalTarget(target, *heartbeat.address)

    def hold(self) -> None:
        """Delays the effect of heartbeats until `release`."""
        self._held = []

    def release(self, now: float) -> None:
        """Applies the delayed heartbeats; later ones are no longer delayed."""
        held, self._held = self._held or [], None
        for heartbeat in held:
            self.heartbeat(now, heartbeat)

    def heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Registers or updates the target, unless the heartbeat is stale."""
        if self._held is not None and (
            heartbeat.state is not model.TargetState.LEAVING
        ):
            if not self._held:
                _log.info(
                    "heartbeats wait until it is known which targets left.",
                    target=heartbeat.target,
                )
            self._held = [*self._held, heartbeat][-MAX_HELD_HEARTBEATS:]
            return
        rejection = self._rejection_reason(heartbeat)
        if rejection:
            self.counts[rejection] += 1
            _log.info(
                f"a heartbeat was ignored: {rejection}.",
                target=heartbeat.target,
                number=heartbeat.number,
                incarnation=heartbeat.incarnation,
            )
            return
        current = self._current
        new = current is None or not _same_incarnation(
            current.heartbeat, heartbeat
        )
        if current is not None and not new:
            current.heartbeat, current.last_seen, current.restored = (
                heartbeat,
                now,
                False,
            )
        else:
            if current is not None:
                self._departed(current.heartbeat)
            self._end(now)
            current = self._current = _CurrentTarget(heartbeat, now)
            self._on_change()
            _log.info(
                "a target is beside this instance.",
                target=heartbeat.target,
                service=heartbeat.service,
                incarnation=heartbeat.incarnation,
            )
        if heartbeat.state is model.TargetState.LEAVING:
            self._leave(current)
        self._on_heartbeat(now, heartbeat, new)
        self._publish(now, current)

    def announce_cold(self, now: float) -> None:
        """Announces that the target became cold again."""
        self._cold_starts = (self._cold_starts + 1) % 2**16
        if self._current is not None:
            self._publish(now, self._current)

    def leaving(self, now: float, id: str, incarnation: int = 0) -> None:
        """Handles the deregistration of a target: it takes no new requests.

        Args:
            now: Current time in seconds.
            id: Id of the target.
            incarnation: Incarnation that deregisters; 0 if unknown.
        """
        current = self._current
        if current is None or current.heartbeat.target != id:
            self._record_end(id, incarnation)
            self._on_departed(id, incarnation)
            return
        if incarnation and incarnation < current.heartbeat.incarnation:
            self.counts["older incarnation"] += 1
            return
        self._record_end(id, current.heartbeat.incarnation)
        self._leave(current)
        self._publish(now, current)

    def recall(self, now: float, id: str, incarnation: int) -> None:
        """Handles a target that left before this process started."""
        self._record_end(id, incarnation)
        current = self._current
        if (
            current is not None
            and current.heartbeat.target == id
            and current.heartbeat.incarnation <= incarnation
        ):
            self._leave(current)
            self._publish(now, current)

    def serving_heartbeat(self) -> Heartbeat | None:
        """Returns the last heartbeat of the target, or None if it is leaving.

        Also returns None if no target is registered.
        """
        current = self._current
        return None if current is None or current.leaving else current.heartbeat

    def restore(self, now: float, heartbeat: Heartbeat) -> None:
        """Registers the target that was local before this process restarted.

        The target must confirm itself with a heartbeat within
        `RESTORED_TIMEOUT_SECONDS`. Does nothing if a target is already
        registered.
        """
        if self._current is None and not self._rejection_reason(heartbeat):
            _log.info(
                "a target is remembered from before the start.",
                target=heartbeat.target,
                service=heartbeat.service,
                incarnation=heartbeat.incarnation,
            )
            current = self._current = _CurrentTarget(
                heartbeat, now, restored=True
            )
            self._publish(now, current)

    def replaced(self, now: float, id: str) -> None:
        """Removes a target whose address now belongs to another target."""
        if self._current is not None and self._current.heartbeat.target == id:
            _log.info(
                "another target answers at the address of the local target.",
                target=id,
            )
            self._end(now)

    def expire(self, now: float) -> None:
        """Removes the target if its heartbeats have stopped."""
        current = self._current
        if current is None:
            return
        elapsed = now - current.last_seen
        if current.restored and elapsed >= RESTORED_TIMEOUT_SECONDS:
            _log.info(
                "the restored target sent no heartbeat; removing it.",
                target=current.heartbeat.target,
            )
            self._remove(now, current)
        elif elapsed > HEARTBEAT_TIMEOUT_SECONDS:
            _log.info("a target fell silent.", target=current.heartbeat.target)
            self._end(now)

    def _rejection_reason(self, heartbeat: Heartbeat) -> str:
        """Returns why a heartbeat is ignored; empty if it is valid."""
        if heartbeat.address != self.address:
            return "address of another machine"
        current = self._current
        if heartbeat.service != self.service and not (
            # The settings have changed, and the target still runs.
            current is not None
            and _same_incarnation(current.heartbeat, heartbeat)
            and current.heartbeat.service == heartbeat.service
        ):
            return "service of another machine"
        if heartbeat.incarnation <= self._ended.get(heartbeat.target, -1):
            return "ended incarnation"
        if current is None:
            return ""
        if heartbeat.incarnation < current.heartbeat.incarnation:
            return "older incarnation"
        same = heartbeat.incarnation == current.heartbeat.incarnation
        if same and heartbeat.target != current.heartbeat.target:
            return "" if heartbeat.incarnation == 0 else "older incarnation"
        if same and heartbeat.number <= current.heartbeat.number:
            return "late or repeated"
        return ""

    def _leave(self, current: _CurrentTarget) -> None:
        if not current.leaving:
            current.leaving = True
            _log.info(
                "a target is leaving; it gets no new work.",
                target=current.heartbeat.target,
            )
            self._departed(current.heartbeat)
            self._on_leaving(current.heartbeat.target)
            self._on_change()

    def _departed(self, heartbeat: Heartbeat) -> None:
        self._on_departed(heartbeat.target, heartbeat.incarnation)

    def _end(self, now: float) -> None:
        current = self._current
        if current is not None:
            self._record_end(
                current.heartbeat.target, current.heartbeat.incarnation
            )
            self._remove(now, current)

    def _remove(self, now: float, current: _CurrentTarget) -> None:
        self._current = None
        self._announcer.withdraw_target(now, current.heartbeat.target)
        self._on_gone(current.heartbeat.target)
        self._on_change()

    def _record_end(self, id: str, incarnation: int) -> None:
        self._ended[id] = max(incarnation, self._ended.get(id, -1))
        while len(self._ended) > MAX_ENDED_INCARNATIONS:
            self._ended.popitem(last=False)

    def _publish(self, now: float, current: _CurrentTarget) -> None:
        heartbeat = current.heartbeat
        state = model.TargetState.SERVING
        if current.leaving:
            state = model.TargetState.LEAVING
        self._announcer.announce_target(
            now,
            records.TargetRecord(
                heartbeat.target,
                heartbeat.service,
                heartbeat.address,
                heartbeat.slots,
                state=state,
                leaving_incarnation=(
                    heartbeat.incarnation if current.leaving else 0
                ),
                cold_starts=self._cold_starts,
            ),
        )


def _same_incarnation(one: Heartbeat, other: Heartbeat) -> bool:
    return (one.target, one.incarnation) == (other.target, other.incarnation)
