"""A fleet whose configuration is large for the links of its machines.

Followers, gossip, links between instances and clients of the store are the real
ones, on virtual time. To run it manually:
python -m tests.config.narrow SIZE FIRST_SEED COUNT [ROUTES]
"""

import collections
import random
import sys

import h11

from cicadafront import loops
from cicadafront.config import current, follow
from cicadafront.config import model as config_model
from cicadafront.membership import view
from cicadafront.peer import codec, link, pool
from cicadafront.platform import store
from tests.config import convergence
from tests.membership import network
from tests.platform import standin, virtual_http
from tests.support import memory, narrow

KEY = "op/config"
STORE_ADDRESS = "store"
PEER_PORT = 7001
STORE_PORT = 1
# 5, 200 and 1,000 Mbit/s, in bytes per second.
SLOW_LINK = 625_000
FAST_LINK = 25_000_000
STORE_LINK = 125_000_000
# Links of the machines, in turn.
MIXED_LINKS = (FAST_LINK, *[SLOW_LINK] * 13)
STEP_SECONDS = 0.01
WARM_UP_SECONDS = 6.0
# Interval at which a caller opens a connection to each machine.
CALLER_SECONDS = 0.25


class Document:
    """A configuration that consists of a revision and lines like routes."""

    def __init__(self, rng):
        self.revision = 0
        self.lines = []
        self._rng = rng

    def add_routes(self, count):
        """Adds routes in places all over the document."""
        for _ in range(count):
            word, host = (self._rng.randbytes(6).hex() for _ in range(2))
            line = (
                f'{{"name": "{word}", "host": "{host}.example", "prefix": '
                f'"/{word}/", "kind": "idempotent", "service": "s{word[0]}", '
                '"max_attempts": 3, "timeout_s": 4.0}'
            )
            place = self._rng.randrange(len(self.lines) + 1)
            self.lines.insert(place, line)
        return self

    def change_route(self):
        """Changes one line."""
        place = self._rng.randrange(len(self.lines))
        self.lines[place] = self.lines[place].replace("4.0", "2.0")
        return self

    def encode(self):
        """Returns the next version of the document."""
        self.revision += 1
        return "\n".join([str(self.revision), *self.lines]).encode()


def decode(document):
    """Decodes the revision of a document."""
    head, _, _ = document.partition(b"\n")
    return config_model.Configuration(revision=int(head))


class StoreConnection:
    """Server side of a connection to the store."""

    def __init__(self, server):
        self._server = server
        self._http = h11.Connection(h11.SERVER)
        self._request = None
        self._body = b""

    def makeConnection(self, transport):  # noqa: N802
        self._transport = transport

    def connectionLost(self, reason):  # noqa: N802
        """Ignores the end: an answer that comes later is dropped."""

    def dataReceived(self, data):  # noqa: N802
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            match event:
                case h11.Request():
                    self._request, self._body = event, b""
                case h11.Data():
                    self._body += bytes(event.data)
                case h11.EndOfMessage():
                    self._respond()
                case _:
                    return

    def _respond(self):
        request = virtual_http.Request(
            self._request.method.decode(),
            self._request.target.decode(),
            self._body,
        )
        answer = self._server.answer(request)
        answer.addCallback(self._send, request)

    def _send(self, body, request):
        length = str(len(body))
        head = h11.Response(
            status_code=request.status, headers=[("Content-Length", length)]
        )
        data = self._http.send(head) + self._http.send(h11.Data(data=body))
        self._transport.write(data + self._http.send(h11.EndOfMessage()))
        self._http.start_next_cycle()


class Instance:
    """One instance: gossip, links, a client of the store and a follower."""

    def __init__(self, fleet, core, rate, seed):
        self.fleet = fleet
        self.id = core.me.id
        self.machine = fleet.tcp.machine(self.id, rate)
        self.held = current.CurrentConfiguration()
        self.counts = collections.Counter()
        rng = random.Random(seed)
        handlers = {}
        context = link.LinkContext(
            codec.Hello(self.id, 1, link.PROTOCOL_VERSION),
            memory.Opener(),
            handlers,
            self.machine,
            self.counts,
        )
        self.calls = pool.Pool(
            context,
            lambda id: (id, PEER_PORT),
            self.machine,
            handlers,
            connect_seconds=0.3,
        )
        self.machine.listeners[PEER_PORT] = lambda: link.Link(context)
        self.loops = loops.Loops(fleet.clock, rng)
        self.store = store.Store(self.machine, (STORE_ADDRESS, STORE_PORT))
        self.follower = follow.Follower(
            self.id,
            KEY,
            decode,
            running=self.loops,
            clock=fleet.clock,
            rng=rng,
            store=self.store,
            directory=view.GossipDirectory(core),
            broadcaster=view.LocalBroadcaster(
                core, lambda: fleet.gossip.now, self._send
            ),
            revisions=view.GossipRevisions(core),
            calls=self.calls,
            held=self.held,
            read_stale=self.store.get_stale,
            wall=fleet.clock.seconds,
        )

    def _send(self, datagrams):
        self.fleet.gossip.send(self.id, datagrams)


class Fleet:
    """Instances that follow the store and each other.

    Attributes:
        instances: The instances by id.
        document: The configuration of the operators.
        longest_connect: Longest time that opening a connection to an instance
            has taken since `call_all`, in seconds.

    Args:
        size: Number of instances.
        seed: Seed of the fleet.
        routes: Routes in the first configuration.
        links: Bytes per second of the links, in turn.
    """

    def __init__(self, size, seed, routes=1400, links=MIXED_LINKS):
        self.rng = random.Random(seed)
        self.gossip = network.Network(seed)
        self.tcp = narrow.Network()
        self.clock = self.tcp.clock
        self.document = Document(self.rng).add_routes(routes)
        self._standin = standin.StoreStandIn(self.clock)
        machine = self.tcp.machine(STORE_ADDRESS, STORE_LINK)
        machine.listeners[STORE_PORT] = lambda: StoreConnection(self)
        self.write()
        cores = self.gossip.fleet(
            size, parameters=convergence.GOSSIP_PARAMETERS
        )
        self.instances = {}
        for number, core in enumerate(cores):
            rate = links[number % len(links)]
            self.instances[core.me.id] = Instance(
                self, core, rate, f"{seed} {core.me.id}"
            )
        self.longest_connect = 0.0
        self._callers = self.tcp.machine("callers", STORE_LINK)
        for instance in self.instances.values():
            instance.follower.start()
        self.run(WARM_UP_SECONDS)

    def call_all(self):
        """Opens connections to all instances from now on."""
        for instance in self.instances.values():
            self._connect(instance.machine, self.clock.seconds())
        self.clock.callLater(CALLER_SECONDS, self.call_all)

    def _connect(self, machine, started_at):
        def answered():
            seconds = self.clock.seconds() - started_at
            self.longest_connect = max(self.longest_connect, seconds)

        self.tcp.handshake(self._callers, machine, answered)

    def answer(self, request):
        """Returns the store's answer to a request."""
        return virtual_http.respond(self._standin, request)

    def write(self):
        """Writes the document to the store; returns its revision."""
        self._standin.write(KEY, self.document.encode())
        return self.document.revision

    def run(self, seconds):
        """Advances virtual time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.gossip.run(STEP_SECONDS)
            self.clock.advance(STEP_SECONDS)

    def behind(self, revision):
        """Returns the ids of the instances that run an older revision."""
        return [
            each.id
            for each in self.instances.values()
            if each.held.revision < revision
        ]

    def seconds_to(self, revision, max_seconds):
        """Advances time until all run a revision; returns the seconds."""
        start = self.clock.seconds()
        while self.behind(revision):
            if self.clock.seconds() - start >= max_seconds:
                break
            self.run(STEP_SECONDS)
        return self.clock.seconds() - start

    def received(self):
        """Returns the bytes that the links of all instances have received."""
        return sum(
            each.machine.inbound.bytes for each in self.instances.values()
        )

    def count(self, event):
        """Returns how often an event was counted at the instances."""
        return sum(each.counts[event] for each in self.instances.values())


def main() -> None:
    """Prints how a series of two changes spreads, for each seed."""
    size, first, count = map(int, sys.argv[1:4])
    for seed in range(first, first + count):
        fleet = Fleet(size, seed, *map(int, sys.argv[4:5]))
        before = fleet.received()
        lost = fleet.count("links_lost")
        fleet.call_all()
        fleet.document.add_routes(1400)
        fleet.write()
        fleet.run(2.0)
        fleet.document.change_route()
        revision = fleet.write()
        size_kb = len(fleet.document.encode()) // 1000
        seconds = fleet.seconds_to(revision, 20.0)
        received = (fleet.received() - before) / size / 1000
        fleet.run(5.0)
        before = fleet.received()
        fleet.run(10.0)
        later = (fleet.received() - before) / size / 10_000
        print(
            f"seed {seed}: document {size_kb} kB, in force after "
            f"{seconds:.2f} s, behind {len(fleet.behind(revision))}, "
            f"{received:.0f} kB an instance, "
            f"{fleet.count('links_lost') - lost} links lost, longest connect "
            f"{fleet.longest_connect:.2f} s, {later:.1f} kB/s later",
            flush=True,
        )


if __name__ == "__main__":
    main()
