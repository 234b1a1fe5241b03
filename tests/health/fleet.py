"""Simulated fleet of instances with health services on a virtual clock."""

import random

import attrs
from twisted.internet import defer

from cicadafront import model, ports
from cicadafront.agent import observer
from cicadafront.config import model as config_model
from cicadafront.emulator import virtual
from cicadafront.health import crashes, permit_owner, service
from cicadafront.limits import actions, calls, claims, shards
from cicadafront.limits.shard import Kind
from cicadafront.membership import announce
from cicadafront.peer import exchange

SERVICE = "ledger"
ROUTE = config_model.Route("pay", "/", SERVICE)
SHARD = shards.shard_of(SERVICE)


class Ownership:
    """Fake ownership in which one instance owns all shards."""

    def __init__(self, mine, owner):
        self.parts = []
        self.mine = mine
        self.owner = owner

    def acts(self, shard):
        return 1 if self.mine else None

    def redirect(self, shard):
        return calls.pack({"owner": None if self.mine else self.owner})


class Node:
    """One instance with its local target."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.id = f"i{number}"
        info = ports.InstanceInfo(self.id, 1, "dc", (self.id, 1))
        self.process = virtual.Process(fleet.world, info)
        self.process.peers = virtual.Peers(self.process)
        self.registry = announce.TargetRegistry(self, self.process.seconds())
        self.handlers = {}
        self.abandoned = []
        self.probes = True
        self.dead = False
        rng = random.Random(number)
        ownership = Ownership(number == 0, "i0")
        self.permits = permit_owner.PermitOwner(
            ownership,
            self.process.peers,
            fleet,
            self.process,
            lambda: fleet.configuration,
            lambda _: True,
        )
        if ownership.mine:
            claim = claims.Claim(
                claims.Member(self.id, 1, self.id, 1), "l", 1, None
            )
            start = self.process.seconds() - 100
            self.permits.acquired(
                actions.Acquired(SHARD, claim, Kind.FRESH, True, start), None
            )
        owners = calls.OwnerCalls(
            self.id, fleet, self.process.peers, self.process, rng
        )
        self.crashes = crashes.CrashTracker(
            self.process, fleet, self, lambda _: defer.succeed(self.dead)
        )
        self.health = service.HealthService(
            self.id,
            clock=self.process,
            rng=rng,
            registry=self.registry,
            directory=fleet,
            peers=self.process.peers,
            owners=owners,
            configuration=lambda: fleet.configuration,
            crash_tracker=self.crashes,
            probe=lambda _: defer.succeed(self.probes),
            abandon=self.abandoned.append,
        )

    def start(self):
        now = self.process.seconds()
        target = announce.LocalTarget(f"t-{self.id}", SERVICE, ("h", 1), 3)
        self.registry.announce(now, target)
        self.tick()

    def tick(self):
        self.health.tick()
        self.permits.tick()
        self.process.callLater(service.TICK_SECONDS, self.tick)

    # Announcer of the registry.

    def announce_target(self, now, record):
        self.fleet.records[record.id] = model.Target(
            record.id,
            record.service,
            self.id,
            record.slots,
            record.state,
            warm_since=-1000.0,
            weight=record.weight,
        )

    def withdraw_target(self, now, id):
        self.fleet.records.pop(id, None)

    # Broadcaster.

    def broadcast(self, topic, payload):
        for other in self.fleet.nodes:
            if other is not self:
                handler = other.handlers[topic]
                self.process.callLater(0.05, handler, payload)

    def on_broadcast(self, topic, handler):
        self.handlers[topic] = handler

    # Requests.

    def open_request(self, body="x", repeatable=True):
        head = model.RequestHead("GET", "/x", ())
        return exchange.OpenRequest(
            head,
            "amani",
            SERVICE,
            f"t-{self.id}",
            5.0,
            repeatable,
            fingerprint=body.encode().ljust(32, b"."),
        )

    def work(self, seconds, outcome=None, body="x"):
        """Starts one request at the target of this instance.

        Args:
            seconds: Duration in seconds; None for a request that never ends.
            outcome: Outcome; None for a success.
            body: Text that determines the fingerprint.
        """
        now = self.process.seconds()
        request = self.open_request(body)
        token = self.health.started(now, request.target, request)
        end = outcome or observer.Completed(200, seconds)
        if seconds is not None:
            self.process.callLater(seconds, self.finish, token, end)
        return token

    def finish(self, token, outcome):
        self.health.finished(self.process.seconds(), token, outcome)

    @property
    def state(self):
        return self.health.state(f"t-{self.id}")


@attrs.define(eq=False, slots=False)
class Fleet:
    """Nodes and the shared directory; implements `ports.Directory`."""

    seed: int
    floor: float = 0.5
    records: dict = attrs.field(factory=dict)
    nodes: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.world = virtual.World(self.seed)
        self.rng = random.Random(self.seed)
        self.configuration = config_model.Configuration(
            revision=1,
            services={SERVICE: config_model.Service(SERVICE, self.floor)},
            routes={ROUTE.id: ROUTE},
        )

    def build(self, count):
        self.nodes = [Node(self, number) for number in range(count)]
        for node in self.nodes:
            node.start()
        return self

    def load(self, seconds, latency, rate=20):
        """Sends requests to every target.

        Args:
            seconds: Duration of the load, in seconds.
            latency: Returns the duration of a request at a node, in seconds;
                None for a request that never ends.
            rate: Requests per second and target.
        """
        steps = int(seconds * rate)
        for _ in range(steps):
            for node in self.nodes:
                node.work(latency(node))
            self.world.advance(1 / rate)

    def ejected(self):
        return [node.id for node in self.nodes if node.state[0]]

    # Directory.

    def instance(self, id):
        return next(n.process.info for n in self.nodes if n.id == id)

    def instances(self):
        return [node.process.info for node in self.nodes]

    def targets(self, service):
        return [t for t in self.records.values() if t.service == service]

    def on_change(self, handler):
        pass
