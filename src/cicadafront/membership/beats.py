"""The target beside this instance, as its own heartbeats describe it.

Heartbeats may come late, twice, from an earlier incarnation, or from somebody
else. The newest incarnation at the target's address counts, and within it the
highest number.
"""

import collections
from collections.abc import Callable

import attrs

from cicadafront import model
from cicadafront.agent import targets as agent_targets
from cicadafront.membership import announce, records
from cicadafront.telemetry import logs

# Ended incarnations that are remembered, so that their late heartbeats do
# not bring them back.
MAX_ENDED_INCARNATIONS = 64
# Most slots that a target may state.
MAX_SLOTS = 10_000
# A target that has neither sent a heartbeat nor taken a request for this
# time is forgotten; several heartbeats may be lost while it is cut off.
HEARTBEAT_TIMEOUT_SECONDS = 30.0
# A target that is only remembered from before a restart is forgotten without
# a heartbeat in this time. Targets send one every 1.5 s; one that was leaving
# when this process was killed may send none, and must get no work later.
RESTORED_TIMEOUT_SECONDS = 1.6

_log = logs.Log("membership")


@attrs.frozen
class Heartbeat:
    """What a target says of itself.

    Attributes:
        target: Its id.
        service: Service that it belongs to.
        address: Host and port on which it listens.
        slots: Number of requests that it runs at the same time.
        state: Serving or leaving.
        number: Grows with each heartbeat of one incarnation.
        incarnation: Grows with each start under the same id or address.
    """

    target: str
    service: str
    address: tuple[str, int]
    slots: int
    state: model.TargetState
    number: int
    incarnation: int = 0


@attrs.define
class _CurrentTarget:
    heartbeat: Heartbeat
    last_seen: float
    leaving: bool = False
    restored: bool = False


class HeartbeatRegistry:
    """Implements `agent.targets.LocalTargets` for one target.

    Args:
        announcer: Tells the fleet about the target.
        instance: Id of this instance.
        data_centre: Data centre of this instance.
        address: Address of the target beside this instance.
        on_leaving: Called with a target that takes no more work.
        on_gone: Called with a target that has ended.
        on_change: Called when another target is held, or it leaves.
    """

    def __init__(
        self,
        announcer: announce.TargetAnnouncer,
        instance: str,
        data_centre: str,
        address: tuple[str, int],
        on_leaving: Callable[[str], None] = lambda target: None,
        on_gone: Callable[[str], None] = lambda target: None,
        on_change: Callable[[], None] = lambda: None,
    ):
        self.address = address
        self.counts: collections.Counter[str] = collections.Counter()
        self._announcer = announcer
        self._instance = instance
        self._data_centre = data_centre
        self._on_leaving = on_leaving
        self._on_gone = on_gone
        self._on_change = on_change
        self._current: _CurrentTarget | None = None
        self._ended: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    @property
    def service(self) -> str:
        """Service of the target, empty while none is known."""
        return self._current.heartbeat.service if self._current else ""

    def local(self, id: str) -> agent_targets.LocalTarget | None:
        """Returns a target, or None if it is not beside this instance."""
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

    def heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Takes a heartbeat."""
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
        same = current is not None and (
            current.heartbeat.target == heartbeat.target
            and current.heartbeat.incarnation == heartbeat.incarnation
        )
        if current is not None and same:
            current.heartbeat, current.last_seen, current.restored = (
                heartbeat,
                now,
                False,
            )
        else:
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
        self._publish(now, current)

    def leaving(self, now: float, id: str, incarnation: int = 0) -> None:
        """Notes that a target says goodbye: it takes no more work."""
        current = self._current
        if current is None or current.heartbeat.target != id:
            self._record_end(id, incarnation)
            return
        if incarnation and incarnation < current.heartbeat.incarnation:
            self.counts["older incarnation"] += 1
            return
        self._record_end(id, current.heartbeat.incarnation)
        self._leave(current)
        self._publish(now, current)

    def serving_heartbeat(self) -> Heartbeat | None:
        """Returns the last heartbeat of a target that takes work, if any."""
        current = self._current
        return None if current is None or current.leaving else current.heartbeat

    def restore(self, now: float, heartbeat: Heartbeat) -> None:
        """Takes the target that was here before this process started.

        It counts until `RESTORED_TIMEOUT_SECONDS` have passed; by then the
        target has sent a heartbeat itself.
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
        """Notes that another target answers at the address."""
        if self._current is not None and self._current.heartbeat.target == id:
            _log.info("another target has the address.", target=id)
            self._end(now)

    def expire(self, now: float) -> None:
        """Forgets a silent target."""
        current = self._current
        if current is None:
            return
        elapsed = now - current.last_seen
        if current.restored and elapsed >= RESTORED_TIMEOUT_SECONDS:
            _log.info(
                "a remembered target sends no heartbeat.",
                target=current.heartbeat.target,
            )
            self._remove(now, current)
        elif elapsed > HEARTBEAT_TIMEOUT_SECONDS:
            _log.info("a target fell silent.", target=current.heartbeat.target)
            self._end(now)

    def _rejection_reason(self, heartbeat: Heartbeat) -> str:
        """Returns why a heartbeat names no target to use, or nothing."""
        if heartbeat.address != self.address:
            return "address of another machine"
        if heartbeat.incarnation <= self._ended.get(heartbeat.target, -1):
            return "ended incarnation"
        current = self._current
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
            self._on_leaving(current.heartbeat.target)
            self._on_change()

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
            ),
        )
