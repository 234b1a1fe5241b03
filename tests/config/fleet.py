"""A simulated fleet that synchronises its configuration on virtual time."""

import random

import attrs
from twisted.internet import defer, task

from cicadafront import errors, ports
from cicadafront.config import apply, current, sync
from cicadafront.emulator import store as emulator
from tests.store.support import result

LATENCY_SECONDS = 0.001
# Time after which gossip marks an instance that it cannot reach as dead.
DETECTION_SECONDS = 5.0


class Node:
    """One instance with its own directory, broadcaster and calls."""

    def __init__(self, fleet, id, data_centre, start=True):
        self.fleet = fleet
        self.id = id
        self.data_centre = data_centre
        self.handlers = {}
        self.topics = {}
        self.changes = []
        self.sent_bytes = 0
        self.unreachable_since = {}  # time since which each peer is unreachable
        self.dead = set()
        self.store = fleet.store.with_shared_data()
        self.held = current.CurrentConfiguration()
        self.in_force_at = {}
        self.held.on_change(
            lambda c: self.in_force_at.update(
                {c.revision: fleet.clock.seconds()}
            )
        )
        rng = random.Random(f"{fleet.seed}/{id}")
        self.sync = sync.ConfigSync(
            id,
            data_centre,
            clock=fleet.clock,
            rng=rng,
            store=self.store,
            directory=self,
            broadcaster=self,
            calls=self,
            held=self.held,
        )
        if start:
            self.sync.start()

    def confirmed(self):
        return self.sync.confirmed(self.fleet.clock.seconds())

    def instances(self):
        return [
            ports.InstanceInfo(
                node.id, 1, node.data_centre, ("", 0), id not in self.dead
            )
            for id, node in self.fleet.nodes.items()
        ]

    def on_change(self, handler):
        self.changes.append(handler)

    def detect(self):
        now = self.fleet.clock.seconds()
        dead = set()
        for id in self.fleet.nodes:
            if self.fleet.reach(id, self.id):
                self.unreachable_since.pop(id, None)
            elif (
                now - self.unreachable_since.setdefault(id, now)
                > DETECTION_SECONDS
            ):
                dead.add(id)
        if dead != self.dead:
            self.dead = dead
            for handler in self.changes:
                handler()

    def broadcast(self, topic, payload):
        for node in self.fleet.nodes.values():
            if node is not self and self.fleet.reach(self.id, node.id):
                self.fleet.clock.callLater(
                    0.3, node.topics.get(topic, lambda _: None), payload
                )

    def on_broadcast(self, topic, handler):
        self.topics[topic] = handler

    def register(self, method, handler):
        self.handlers[method] = handler

    def call(self, instance, method, body, timeout):
        self.sent_bytes += len(body)
        mutual = self.fleet.reach(self.id, instance) and self.fleet.reach(
            instance, self.id
        )
        wait = 2 * LATENCY_SECONDS if mutual else timeout
        return task.deferLater(
            self.fleet.clock, wait, self._serve, instance, method, body, mutual
        )

    def _serve(self, instance, method, body, reachable):
        peer = self.fleet.nodes[instance]
        if not reachable or method not in peer.handlers:
            raise errors.CallFailedError("no reply; try another peer")
        try:
            reply = peer.handlers[method](self.id, body)
        except errors.CicadafrontError as error:
            raise errors.CallFailedError(error.message) from None
        peer.sent_bytes += len(reply)
        return self.fleet.damage(method, reply)


class Fleet:
    """Instances in three data centres with a shared store."""

    def __init__(self, seed, size):
        self.seed = seed
        self.clock = task.Clock()
        self.clock.advance(1000)
        self.store = emulator.EmulatedStore(self.clock)
        self.nodes = {}
        self.cut = set()  # ids partitioned from all others
        self.damage = lambda method, reply: reply
        self.serial = 0
        for number in range(size):
            self.add(f"i{number}", f"dc-{number % 3}")

    def add(self, id, data_centre, start=True):
        self.nodes[id] = Node(self, id, data_centre, start)
        for node in self.nodes.values():
            for handler in node.changes:
                handler()
        return self.nodes[id]

    def reach(self, sender, receiver):
        return (sender in self.cut) == (receiver in self.cut)

    def run(self, seconds, step=0.05):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            for node in self.nodes.values():
                node.detect()

    def apply(self, configuration):
        self.serial += 1
        return result(
            defer.ensureDeferred(
                apply.Applier(self.store, self.clock).apply(
                    configuration,
                    author="asha",
                    write=f"w{self.serial}",
                    time=self.clock.seconds(),
                )
            )
        ).revision

    def outage(self, nodes, on=True):
        for node in nodes:
            node.store.faults = attrs.evolve(node.store.faults, outage=on)

    def revisions(self):
        return {node.held.revision for node in self.nodes.values()}
