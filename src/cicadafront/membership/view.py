"""`Directory` over the gossip state."""

from collections.abc import Callable

import attrs
import eliot

from cicadafront import model, ports
from cicadafront.membership import gossip, records


def _guarded(handler: Callable[..., None]) -> Callable[..., None]:
    """Returns a handler that logs its errors.

    A fault in one part must not keep the core from sending its answers.
    """

    def call(*args) -> None:
        try:
            handler(*args)
        except Exception:  # Any fault of a handler.
            eliot.write_traceback()

    return call


def _info(record: records.InstanceRecord) -> ports.InstanceInfo:
    return ports.InstanceInfo(
        record.id,
        record.incarnation,
        record.data_centre,
        record.peer_address,
        record.liveness is not records.Liveness.DEAD,
        record.leaving,
        record.operators_address,
    )


class GossipDirectory:
    """Instances and targets, converted once per change.

    `warm_since` of the targets is on the clock whose time is passed to the
    gossip core. Suspects count as alive.
    """

    def __init__(self, core: gossip.Gossip):
        self._core = core
        self._watchers: list[Callable[[], None]] = []
        self._instances: dict[
            str, tuple[records.InstanceRecord, ports.InstanceInfo]
        ] = {}
        self._targets: dict[str, list[model.Target]] = {}
        core.on_change(self._follow)

    def instance(self, id: str) -> ports.InstanceInfo | None:
        """Returns one instance, or None if it is unknown."""
        record = self._core.instance(id)
        if record is None:
            self._instances.pop(id, None)
            return None
        cached = self._instances.get(id)
        if cached is None or cached[0] is not record:
            cached = self._instances[id] = record, _info(record)
        return cached[1]

    def instances(self) -> list[ports.InstanceInfo]:
        """Returns all known instances, this one and dead ones included."""
        found = (self.instance(r.id) for r in self._core.instances())
        return [info for info in found if info is not None]

    def targets(self, service: str) -> list[model.Target]:
        """Returns the targets of a service beside instances not dead.

        Targets beside an instance in a planned stop count as leaving.
        """
        cached = self._targets.get(service)
        if cached is None:
            held = self._core.targets(service)
            cached = [self._target(record) for record in held]
            if cached:
                self._targets[service] = cached
        return list(cached)

    def reachable(self, id: str) -> bool:
        """Returns whether this instance can talk directly to another one."""
        return self._core.reachable(id)

    def on_change(self, handler: Callable[[], None]) -> None:
        """Calls the handler after each change."""
        self._watchers.append(_guarded(handler))

    def _target(self, record: records.TargetRecord) -> model.Target:
        owner = self._core.instance(record.owner)
        leaving = owner is not None and owner.leaving
        return model.Target(
            record.id,
            record.service,
            record.owner,
            record.slots,
            model.TargetState.LEAVING if leaving else record.state,
            record.warm_since,
            record.weight,
            owner.data_centre if owner else "",
        )

    def _follow(self) -> None:
        for service in self._core.take_changed_services():
            self._targets.pop(service, None)
        for handler in list(self._watchers):
            handler()


@attrs.frozen
class GossipRevisions:
    """`Revisions` that travel with the messages of the gossip."""

    core: gossip.Gossip

    def tell(self, revision: int) -> None:
        """Tells the others from now on which revision this instance runs."""
        self.core.revision = revision

    def on_told(self, handler: Callable[[str, int], None]) -> None:
        """Calls the handler with an instance and the revision it runs."""
        self.core.on_revision(_guarded(handler))


@attrs.frozen
class LocalBroadcaster:
    """`Broadcaster` that takes the time from a clock.

    Attributes:
        core: The gossip core.
        seconds: Returns the current time.
        send: Sends datagrams.
    """

    core: gossip.Gossip
    seconds: Callable[[], float]
    send: Callable[[list[gossip.Datagram]], None]

    def broadcast(self, topic: str, payload: bytes) -> None:
        """Sends a payload of at most 1,000 bytes to the other instances.

        Handlers of this instance are not called.

        Raises:
            ValueError: The topic is empty or the payload is too long.
        """
        self.send(self.core.broadcast(self.seconds(), topic, payload))

    def on_broadcast(
        self, topic: str, handler: Callable[[bytes], None]
    ) -> None:
        """Calls the handler once for each broadcast of the topic."""
        self.core.on_broadcast(topic, _guarded(handler))
