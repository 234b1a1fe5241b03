"""Implementations of `Directory`, `Revisions` and `Broadcaster` on gossip."""

from collections.abc import Callable

import attrs
import eliot

from cicadafront import model, ports
from cicadafront.membership import gossip, records


def _logging_errors(handler: Callable[..., None]) -> Callable[..., None]:
    """Returns a handler that logs exceptions instead of raising them.

    An exception in one handler must not keep the core from sending replies.
    """

    def call(*args) -> None:
        try:
            handler(*args)
        except Exception:  # Handlers may raise anything.
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
    """Known instances and targets; conversions are cached until a change.

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
        core.on_change(self._core_changed)

    def instance(self, id: str) -> ports.InstanceInfo | None:
        """Returns an instance, or None if it is unknown."""
        record = self._core.instance(id)
        if record is None:
            self._instances.pop(id, None)
            return None
        cached = self._instances.get(id)
        if cached is None or cached[0] is not record:
            cached = self._instances[id] = record, _info(record)
        return cached[1]

    def instances(self) -> list[ports.InstanceInfo]:
        """Returns all known instances, including this one and dead ones."""
        found = (self.instance(r.id) for r in self._core.instances())
        return [info for info in found if info is not None]

    def targets(self, service: str) -> list[model.Target]:
        """Returns the targets of a service whose owners are not dead.

        Targets of an instance in a planned stop are returned as leaving.
        """
        cached = self._targets.get(service)
        if cached is None:
            found = self._core.targets(service)
            cached = [self._target(record) for record in found]
            if cached:
                self._targets[service] = cached
        return list(cached)

    def take_changed_instances(self) -> set[str]:
        """Returns the ids of the instances that changed since the last call."""
        return self._core.take_changed_instances()

    def reachable(self, id: str) -> bool:
        """Returns whether this instance can reach another one directly."""
        return self._core.reachable(id)

    def on_change(self, handler: Callable[[], None]) -> None:
        """Calls the handler after each change."""
        self._watchers.append(_logging_errors(handler))

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

    def _core_changed(self) -> None:
        for service in self._core.take_changed_services():
            self._targets.pop(service, None)
        for handler in list(self._watchers):
            handler()


@attrs.frozen
class GossipRevisions:
    """`Revisions` that piggybacks the revision on gossip messages."""

    core: gossip.Gossip

    def publish(self, revision: int) -> None:
        """Sets the revision that this instance reports to the others."""
        self.core.revision = revision

    def on_revision(self, handler: Callable[[str, int], None]) -> None:
        """Calls the handler with each reported instance id and revision."""
        self.core.on_revision(_logging_errors(handler))


@attrs.frozen
class GossipEvacuations:
    """`Revisions` that piggybacks the token of the known evacuations."""

    core: gossip.Gossip

    def publish(self, revision: int) -> None:
        """Sets the token that this instance reports to the others."""
        self.core.evacuations = revision

    def on_revision(self, handler: Callable[[str, int], None]) -> None:
        """Calls the handler with each reported instance id and token."""
        self.core.on_evacuations(_logging_errors(handler))


@attrs.frozen
class LocalBroadcaster:
    """`Broadcaster` on top of the gossip core.

    Attributes:
        core: The gossip core.
        seconds: Returns the current time in seconds.
        send: Sends datagrams.
    """

    core: gossip.Gossip
    seconds: Callable[[], float]
    send: Callable[[list[gossip.Datagram]], None]

    def broadcast(self, topic: str, payload: bytes) -> None:
        """Sends a payload of at most 1,000 bytes to all other instances.

        Handlers on this instance are not called.

        Raises:
            ValueError: The topic is empty or the payload is too long.
        """
        self.send(self.core.broadcast(self.seconds(), topic, payload))

    def on_broadcast(
        self, topic: str, handler: Callable[[bytes], None]
    ) -> None:
        """Calls the handler once for each received broadcast of the topic."""
        self.core.on_broadcast(topic, _logging_errors(handler))
