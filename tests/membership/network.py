"""Simulated datagram network on a virtual clock, for tests and benchmarks."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from cicadafront.membership import gossip, records


@attrs.define
class Conditions:
    """Faults and delays of the network.

    Attributes:
        loss: Share of datagrams that are lost.
        duplication: Share of datagrams that arrive twice.
        delay: Shortest and longest one-way delay in seconds; datagrams can
            be reordered.
        blocked: Pairs (sender, receiver) whose datagrams are dropped.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (0.0005, 0.003)
    blocked: set[tuple[str, str]] = attrs.field(factory=set)

    def block(self, senders, receivers) -> None:
        """Blocks datagrams from one group of instances to another."""
        self.blocked |= set(itertools.product(senders, receivers))


def address(number: int) -> records.Address:
    """Returns the gossip address of the instance with this start number."""
    return f"10.0.{(number + 1) // 250}.{(number + 1) % 250 + 1}", 7002


class Network:
    """Simulated instances; time passes only in `run`."""

    def __init__(self, seed: int, conditions: Conditions | None = None):
        self.now = 0.0
        self.conditions = conditions or Conditions()
        self.nodes: dict[str, gossip.Gossip] = {}
        self.paused: set[str] = set()
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._names: dict[records.Address, str] = {}
        self._inboxes: dict[str, list[tuple[bytes, records.Address]]] = {}

    def start(
        self,
        id: str,
        incarnation: int = 1,
        seeds=(),
        number: int | None = None,
        data_centre: str = "dar-a",
        **options,
    ) -> gossip.Gossip:
        """Starts an instance; it replaces one with the same id.

        Args:
            id: Id of the instance.
            incarnation: Incarnation of its process.
            seeds: Gossip addresses of its seeds.
            number: Number of its address; the next free one if None.
            data_centre: Data centre of the instance.
            **options: Further arguments of `gossip.Gossip`.
        """
        gossip_address = address(len(self._names) if number is None else number)
        peer_address = gossip_address[0], 7001
        me = records.InstanceRecord(
            id, incarnation, 1, data_centre, peer_address, gossip_address
        )
        rng = random.Random(self._rng.random())
        node = gossip.Gossip(me, rng, self.now, seeds, **options)
        self.nodes[id] = node
        self._names[gossip_address] = id
        self._inboxes[id] = []
        self.at(self.now + self._rng.uniform(0, 0.1), self._ticker(id, node))
        return node

    def fleet(self, size: int, **options) -> list[gossip.Gossip]:
        """Starts instances i000, i001, ... that know one another."""
        nodes = [self.start(f"i{n:03d}", **options) for n in range(size)]
        known = [node.me for node in nodes]
        for node in nodes:
            node.load(self.now, known)
        return nodes

    def stop(self, id: str) -> None:
        """Stops an instance without an announcement, like a crash."""
        del self.nodes[id]

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Advances the clock and runs the events that are due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Runs until a condition holds; returns the elapsed seconds.

        Raises:
            AssertionError: The condition does not hold within `limit` seconds.
        """
        start = self.now
        while not condition():
            if self.now - start > limit:
                raise AssertionError(
                    f"condition not met within {limit} s of virtual time"
                )
            self.run(0.05)
        return self.now - start

    def resume(self, id: str) -> None:
        """Ends a pause; datagrams from the socket buffer are read at once."""
        self.paused.discard(id)
        waiting, self._inboxes[id] = self._inboxes[id], []
        for data, sender in waiting:
            self._receive(id, data, sender)

    def send(self, id: str, datagrams: list[gossip.Datagram]) -> None:
        """Sends the datagrams of an instance through the network."""
        for datagram in datagrams:
            assert len(datagram.data) + 28 < 1400, "datagram too long"
            receiver = self._names.get(datagram.address)
            blocked = (id, receiver) in self.conditions.blocked
            lost = self._rng.random() < self.conditions.loss
            if receiver is None or blocked or lost:
                continue
            twice = self._rng.random() < self.conditions.duplication
            for _ in range(1 + twice):
                self._deliver(id, receiver, datagram)

    def _deliver(
        self, sender: str, receiver: str, datagram: gossip.Datagram
    ) -> None:
        source = self.nodes[sender].me.gossip_address
        delay = self._rng.uniform(*self.conditions.delay)

        def arrive() -> None:
            node = self.nodes.get(receiver)
            if node and node.me.gossip_address == datagram.address:
                self._receive(receiver, datagram.data, source)

        self.at(self.now + delay, arrive)

    def _receive(self, id: str, data: bytes, sender: records.Address) -> None:
        if id in self.paused:
            self._inboxes[id].append((data, sender))
        else:
            node = self.nodes[id]
            self.send(id, node.receive(self.now, data, sender))

    def _ticker(self, id: str, node: gossip.Gossip) -> Callable[[], None]:
        def tick() -> None:
            if self.nodes.get(id) is not node:
                return
            if id not in self.paused:
                self.send(id, node.tick(self.now))
            self.at(self.now + node.parameters.tick_seconds, tick)

        return tick
