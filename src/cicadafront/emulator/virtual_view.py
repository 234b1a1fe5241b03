"""What the processes of `emulator.virtual` know of each other."""

from collections.abc import Callable

import attrs
from twisted.internet import defer

from cicadafront import ports
from cicadafront.emulator.virtual import Process


class View:
    """`ports.Directory` of one process: who was heard of lately.

    A process that was not heard for `DEAD_SECONDS` is believed dead, as with
    gossip.
    """

    DEAD_SECONDS = 1.5
    STEP_SECONDS = 0.25

    def __init__(self, process: Process):
        self._process = process
        self._handlers: list[Callable[[], None]] = []
        self._heard: dict[str, float] = {}
        self._seen: dict[str, ports.InstanceInfo] = {}
        self.leaving: set[str] = set()
        self._look()

    def instance(self, id: str) -> ports.InstanceInfo | None:
        """Returns one instance."""
        return self._seen.get(id)

    def instances(self) -> list[ports.InstanceInfo]:
        """Returns all known instances."""
        return list(self._seen.values())

    def targets(self, service: str) -> list:
        """Returns no targets."""
        return []

    def on_change(self, handler: Callable[[], None]) -> None:
        """Calls the handler after each change."""
        self._handlers.append(handler)

    def _look(self) -> None:
        self._process.callLater(self.STEP_SECONDS, self._look)
        now, me = self._process.seconds(), self._process.info.id
        world = self._process.world
        before = dict(self._seen)
        for id, other in world.processes.items():
            blocked = (id, me) in world.blocked or (me, id) in world.blocked
            if other.running and not other.paused and not blocked:
                self._heard[id] = now
            known = self._seen.get(id)
            if known is None and id not in self._heard:
                continue
            fresh = now - self._heard[id] < self.DEAD_SECONDS
            info = other.info if self._heard[id] == now else known
            assert info is not None
            self._seen[id] = attrs.evolve(
                info, alive=fresh, leaving=info.leaving
            )
        if before != self._seen:
            for handler in self._handlers:
                handler()


def prober(process: Process) -> Callable[[str, int], "defer.Deferred[bool]"]:
    """Returns a probe that tells whether an address refuses connections.

    The host of an address is the instance's id and the port its incarnation.
    """
    world, me = process.world, process.info.id

    def probe(host: str, _port: int) -> "defer.Deferred[bool]":
        result: defer.Deferred[bool] = defer.Deferred()

        def back() -> None:
            world.send(
                host,
                me,
                "refusal",
                lambda: process.run(lambda: answer(True)),
            )

        def arrive() -> None:
            target = world.processes[host]
            if not target.running and not target.silent:
                back()

        def answer(refused: bool) -> None:
            if not result.called:
                result.callback(refused)

        process.callLater(1.0, answer, False)
        world.send(me, host, "probe", arrive)
        return result

    return probe
