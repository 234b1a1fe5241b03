"""Simulated gossip fleet with planned replacements and failures."""

import functools
import itertools
import random
import time
from collections.abc import Callable

import attrs

from cicadafront import model
from cicadafront.membership import gossip, outbox, records
from tests.membership import network

TARGETS = 12
SERVICES = 880
DRAIN_SECONDS = 10.0
START_SECONDS = 5.0
Row = dict[str, float]


def service_name(number: int) -> str:
    """Returns the service name of the target with the given number."""
    return f"svc-{number % SERVICES}"


@attrs.define
class Meter:
    """Accumulates the CPU time of the gossip cores, in seconds."""

    seconds: float = 0.0

    def wrap(self, function: Callable) -> Callable:
        """Wraps a function so that its CPU time is added to `seconds`."""

        def timed(*args):
            start = time.process_time()
            try:
                return function(*args)
            finally:
                self.seconds += time.process_time() - start

        return timed


class Fleet:
    """Instances with 12 targets each that can be replaced or fail."""

    def __init__(self, size: int, seed: int):
        conditions = network.Conditions(loss=0.001)
        self.net = network.Network(seed, conditions)
        self.meter = Meter()
        self.rng = random.Random(seed)
        self._stopped_counters = outbox.Counters()
        self._names = itertools.count(size)
        nodes = self.net.fleet(size)
        for node in nodes:
            self._announce_targets(node, model.TargetState.SERVING)
        initial_records = [
            r for node in nodes for r in node.records_of(node.me.id)
        ]
        for node in nodes:
            node.load(0.0, initial_records)
            self._meter_cpu(node)

    def _meter_cpu(self, node: gossip.Gossip) -> None:
        node.tick = self.meter.wrap(node.tick)  # type: ignore[method-assign]
        node.receive = self.meter.wrap(  # type: ignore[method-assign]
            node.receive
        )

    def _announce_targets(
        self, node: gossip.Gossip, state: model.TargetState
    ) -> None:
        index = int(node.me.id[1:])
        for number in range(TARGETS):
            service = service_name(index * TARGETS + number)
            record = records.TargetRecord(
                f"{node.me.id}-t{number:02d}",
                service,
                (node.me.peer_address[0], 8000 + number),
                3,
                state=state,
            )
            node.announce_target(self.net.now, record)

    def choose(self) -> str:
        """Returns a random running instance that is not leaving."""
        ids = [id for id, n in self.net.nodes.items() if not n.me.leaving]
        return self.rng.choice(ids)

    def replace(self) -> None:
        """Drains and stops a random instance and starts a new one."""
        old = self.choose()
        self.net.nodes[old].leave(self.net.now)
        self.net.at(self.net.now + DRAIN_SECONDS, lambda: self._depart(old))
        self.add()

    def _depart(self, id: str) -> None:
        node = self.net.nodes[id]
        self.net.send(id, node.depart(self.net.now))
        self.stop(id)

    def fail(self) -> None:
        """Crashes a random instance and starts a new one."""
        self.stop(self.choose())
        self.add()

    def add(self) -> None:
        """Starts an instance that gets its initial state from a peer."""
        peer = self.net.nodes[self.choose()]
        node = self.net.start(f"i{next(self._names):04d}")
        self._meter_cpu(node)
        initial_records = [
            r for record in peer.instances() for r in peer.records_of(record.id)
        ]
        node.load(self.net.now, initial_records)
        self._announce_targets(node, model.TargetState.STARTING)

        def serve() -> None:
            self._announce_targets(node, model.TargetState.SERVING)

        self.net.at(self.net.now + START_SECONDS, serve)

    def stop(self, id: str) -> None:
        """Stops an instance and keeps its counters for the totals."""
        self._stopped_counters = add_counters(
            self._stopped_counters, self.net.nodes[id].counters
        )
        self.net.stop(id)

    def totals(self) -> outbox.Counters:
        """Returns the summed counters of all running and stopped instances."""
        counted = [node.counters for node in self.net.nodes.values()]
        return functools.reduce(add_counters, counted, self._stopped_counters)

    def run(self, seconds: float) -> Row:
        """Runs for a time in seconds and returns means per instance."""
        before = self.totals()
        self.meter.seconds = 0.0
        self.net.run(seconds)
        after = self.totals()
        node_seconds = len(self.net.nodes) * seconds
        sent = after.sent_bytes - before.sent_bytes
        received = after.received_bytes - before.received_bytes
        datagrams = after.sent_datagrams - before.sent_datagrams
        return {
            "sent_bytes_per_second": sent / node_seconds,
            "received_bytes_per_second": received / node_seconds,
            "datagrams_per_second": datagrams / node_seconds,
            "cpu_percent": 100 * self.meter.seconds / node_seconds,
        }


def add_counters(
    one: outbox.Counters, other: outbox.Counters
) -> outbox.Counters:
    """Returns the sum of two sets of counters."""
    pairs = zip(attrs.astuple(one), attrs.astuple(other), strict=True)
    return outbox.Counters(*(a + b for a, b in pairs))
