"""Simulated start of a whole fleet that finds itself through the store."""

import random

import attrs
from twisted.internet import defer, task

from cicadafront import errors, loops, ports
from cicadafront.membership import (
    codec,
    gossip,
    records,
    registration,
    transfer,
)
from tests.membership import network

STEP_SECONDS = 0.05
# Time until a call to the store fails that the store does not answer.
CALL_SECONDS = 1.0
# Time between two attempts to fetch the state from a peer.
TRANSFER_RETRY_SECONDS = 1.0
SERVICES = ("rounds", "ledger", "proofs", "desk")


class Store:
    """Store on a virtual clock.

    Attributes:
        entries: Entries by key.
        delay: Response time in seconds.
        available_at: Time until which calls fail after `CALL_SECONDS`.
        refuses: Whether the call of this number fails at once.
        calls: Number of calls so far.
    """

    def __init__(self, clock, delay, available_at=0.0):
        self.clock, self.delay, self.available_at = clock, delay, available_at
        self.entries = {}
        self.refuses = lambda number: False
        self.calls = 0

    def _answer(self, action):
        self.calls += 1
        done = defer.Deferred()
        error = errors.StoreUnavailableError("no answer")
        if self.clock.seconds() < self.available_at:
            self.clock.callLater(CALL_SECONDS, done.errback, error)
        elif self.refuses(self.calls):
            self.clock.callLater(self.delay, done.errback, error)
        else:
            self.clock.callLater(self.delay, lambda: done.callback(action()))
        return done

    def list(self, prefix):
        """Returns all entries."""
        return self._answer(lambda: dict(self.entries))

    def grant_lease(self, ttl):
        """Returns a lease."""
        return self._answer(lambda: "1")

    def renew_lease(self, lease):
        """Does nothing."""
        return self._answer(lambda: None)

    def put(self, key, value, expected=None, lease=""):
        """Writes an entry."""

        def write():
            self.entries[key] = ports.Versioned(value, 1)
            return 1

        return self._answer(write)

    def register(self, id, address):
        """Writes the entry of a process that has ended."""
        host, port = address
        value = f'{{"gossip": ["{host}", {port}]}}'.encode()
        key = registration.PREFIX + id
        self.entries[key] = ports.Versioned(value, 1)


@attrs.define
class Start:
    """Options of a start.

    Attributes:
        size: Number of instances, each with one target.
        seed: Seed of all random numbers.
        spread: Time within which the processes start, in seconds.
        late_share: Share of the instances that start `late_by` seconds later.
        late_by: Delay of these instances in seconds.
        target_at: Shortest and longest time from the start of a process until
            its target announces itself, in seconds.
        listed: Whether the store holds the entries of former processes.
        store_delay: Response time of the store in seconds.
        store_away: Time until which the store does not answer, in seconds.
        refused_share: Share of the calls that the store refuses.
        loss: Share of the datagrams that are lost.
        killed_share: Share of the instances that are killed and started again.
        killed_at: Time of that kill in seconds.
    """

    size: int
    seed: int = 1
    spread: float = 0.3
    late_share: float = 0.0
    late_by: float = 1.0
    target_at: tuple[float, float] = (0.0, 1.5)
    listed: bool = False
    store_delay: float = 0.004
    store_away: float = 0.0
    refused_share: float = 0.0
    loss: float = 0.0
    killed_share: float = 0.0
    killed_at: float = 1.0


class StartingFleet:
    """Instances that start together, each with one target.

    Args:
        options: What starts when, and which faults there are.
        parameters: Gossip parameters of the instances.
        data_centres: Number of data centres.

    Attributes:
        net: The network of the instances.
        store: The store.
    """

    def __init__(
        self,
        options: Start,
        parameters: gossip.Parameters,
        data_centres: int = 5,
    ):
        self.options = options
        self.net = network.Network(
            options.seed, network.Conditions(loss=options.loss)
        )
        self.clock = task.Clock()
        self.store = Store(self.clock, options.store_delay, options.store_away)
        self._rng = random.Random(options.seed)
        if options.refused_share:
            self.store.refuses = lambda _: (
                self._rng.random() < options.refused_share
            )
        self._parameters = parameters
        self._data_centres = data_centres
        self._service_sizes = {name: 0 for name in SERVICES}
        for number in range(options.size):
            self._plan(number)

    def _plan(self, number: int) -> None:
        options = self.options
        self._service_sizes[self.service(number)] += 1
        if options.listed:
            self.store.register(f"i{number:04d}", network.address(number))
        at = self._rng.uniform(0.0, options.spread)
        if number < options.late_share * options.size:
            at += options.late_by
        self.net.at(at, lambda: self._start(number, 1))
        if self._rng.random() < options.killed_share:
            self.net.at(
                max(at, options.killed_at), lambda: self._start(number, 2)
            )

    def service(self, number: int) -> str:
        """Returns the service of the target of an instance."""
        return SERVICES[number % len(SERVICES)]

    def _start(self, number: int, incarnation: int) -> None:
        core = self.net.start(
            f"i{number:04d}",
            incarnation,
            number=number,
            data_centre=f"dc-{number % self._data_centres}",
            parameters=self._parameters,
        )
        running = loops.Loops(self.clock, random.Random(number))

        def found(addresses):
            if self._current(core):
                core.seeds = [*core.seeds, *addresses]

        registration.Registration(
            core.me.id,
            core.me.gossip_address,
            running=running,
            store=self.store,
            found=found,
            alone=lambda: not core.peers(),
        ).start()
        self._join(core)
        announced = self.net.now + self._rng.uniform(*self.options.target_at)
        self.net.at(announced, lambda: self._announce(core, number))

    def _current(self, core: gossip.Gossip) -> bool:
        return self.net.nodes.get(core.me.id) is core

    def _announce(self, core: gossip.Gossip, number: int) -> None:
        if self._current(core):
            target = records.TargetRecord(
                f"t{number:04d}", self.service(number), ("", 8000), 1
            )
            core.announce_target(self.net.now, target)

    def _join(self, core: gossip.Gossip) -> None:
        """Fetches the state of a peer once, as the membership service does."""
        if not self._current(core):
            return
        peers = [id for id in core.peers() if id in self.net.nodes]
        if not peers:
            self.net.at(self.net.now + 0.2, lambda: self._join(core))
            return
        peer, after = self.net.nodes[self._rng.choice(peers)], ""
        while True:
            body = transfer.page(peer, after, self.net.now)
            items, after = codec.decode_page(body, self.net.now)
            core.load(self.net.now, items)
            if not after:
                return

    def run(self, until: float) -> None:
        """Advances the clock to a time in seconds."""
        while self.net.now < until:
            self.net.run(STEP_SECONDS)
            self.clock.advance(self.net.now - self.clock.seconds())

    def route(self, node: gossip.Gossip) -> bool:
        """Returns whether an instance knows a target of each service."""
        return all(node.targets(name) for name in SERVICES)

    def known_share(self, node: gossip.Gossip) -> float:
        """Returns the share of all targets that an instance knows."""
        known = sum(len(node.targets(name)) for name in SERVICES)
        return known / self.options.size

    def worst_share(self) -> float:
        """Returns the share of the targets that the worst instance knows."""
        if len(self.net.nodes) < self.options.size:
            return 0.0
        return min(map(self.known_share, self.net.nodes.values()))

    def all_route(self) -> bool:
        """Returns whether all instances know a target of each service."""
        running = self.net.nodes.values()
        started = len(running) == self.options.size
        return started and all(map(self.route, running))

    def sent_bytes(self) -> float:
        """Returns the mean of the bytes that an instance has sent."""
        counted = [n.counters.sent_bytes for n in self.net.nodes.values()]
        return sum(counted) / max(1, len(counted))
