"""Membership views of the processes of `emulator.virtual`."""

from collections.abc import Callable

import attrs
from twisted.internet import defer

from cicadafront import ports
from cicadafront.emulator.virtual import Process


class View:
    """`ports.Directory` of one process.

    As with gossip, a process that was not reachable for
    `DEAD_AFTER_SECONDS` is considered dead.
    """

    DEAD_AFTER_SECONDS = 1.5
    POLL_INTERVAL_SECONDS = 0.25

    def __init__(self, process: Process):
        self._process = process
        self._handlers: list[Callable[[], None]] = []
        self._last_heard: dict[str, float] = {}
        self._known: dict[str, ports.InstanceInfo] = {}
        self.leaving: set[str] = set()
        self._poll()

    def instance(self, id: str) -> ports.InstanceInfo | None:
        """Returns one instance, or None if it is unknown."""
        return self._known.get(id)

    def instances(self) -> list[ports.InstanceInfo]:
        """Returns all known instances."""
        return list(self._known.values())

    def targets(self, service: str) -> list:
        """Returns an empty list; targets are not emulated."""
        return []

    def on_change(self, handler: Callable[[], None]) -> None:
        """Registers a handler that is called after each change."""
        self._handlers.append(handler)

    def _poll(self) -> None:
        self._process.callLater(self.POLL_INTERVAL_SECONDS, self._poll)
        now, own_id = self._process.seconds(), self._process.info.id
        world = self._process.world
        previous = dict(self._known)
        for id, other in world.processes.items():
            blocked = (id, own_id) in world.blocked or (
                own_id,
                id,
            ) in world.blocked
            if other.running and not other.paused and not blocked:
                self._last_heard[id] = now
            known = self._known.get(id)
            if known is None and id not in self._last_heard:
                continue
            fresh = now - self._last_heard[id] < self.DEAD_AFTER_SECONDS
            info = other.info if self._last_heard[id] == now else known
            assert info is not None
            self._known[id] = attrs.evolve(
                info, alive=fresh, leaving=info.leaving
            )
        if previous != self._known:
            for handler in self._handlers:
                handler()


def prober(process: Process) -> Callable[[str, int], "defer.Deferred[bool]"]:
    """Returns a probe that checks whether an address refuses connections.

    The host of an address is the id of the instance, its port the
    incarnation. A probe without a refusal returns False after 1 s.
    """
    world, own_id = process.world, process.info.id

    def probe(host: str, _port: int) -> "defer.Deferred[bool]":
        result: defer.Deferred[bool] = defer.Deferred()

        def send_refusal() -> None:
            world.send(
                host,
                own_id,
                "refusal",
                lambda: process.run(lambda: complete(True)),
            )

        def arrive() -> None:
            target = world.processes[host]
            if not target.running and not target.silent:
                send_refusal()

        def complete(refused: bool) -> None:
            if not result.called:
                result.callback(refused)

        process.callLater(1.0, complete, False)
        world.send(own_id, host, "probe", arrive)
        return result

    return probe
