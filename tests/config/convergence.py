"""A fleet that follows a stored document on virtual time, with faults.

The followers, the gossip protocol and its exchange of revisions are the real
ones; the store, the network and the calls between instances are fakes. To run
it manually:
python -m tests.config.convergence (faults|cut|mute) SIZE FIRST_SEED COUNT
"""

import collections
import random
import sys

from twisted.internet import defer, task

from cicadafront import errors, loops, ports
from cicadafront.config import current, follow
from cicadafront.config import model as config_model
from cicadafront.membership import gossip, view
from cicadafront.peer import failures
from cicadafront.platform import store
from tests.membership import network

# The same values as in the sidecar deployment, whose assembly needs a reactor.
GOSSIP_PARAMETERS = gossip.Parameters(
    bytes_per_second=4000.0,
    digest_seconds=1.5,
    broadcast_all_changes=True,
    tick_seconds=0.2,
)
STEP_SECONDS = 0.01
ANSWER_SECONDS = 0.004
# Initial retransmission timeout of TCP; it doubles.
RETRANSMIT_SECONDS = 0.2
# Time for gossip to converge before faults are injected.
WARM_UP_SECONDS = 5.0


def decode(document):
    """Decodes a document that consists of a revision only."""
    return config_model.Configuration(revision=int(document))


class StoreServer:
    """The store: one document and the pending watches for it."""

    def __init__(self):
        self.version = 1
        self.value = b"1"
        self.watches = []

    def write(self, value):
        """Writes the document and answers the pending watches."""
        self.version += 1
        self.value = value
        watches, self.watches = self.watches, []
        for wake in watches:
            wake()


class StoreClient:
    """One instance's connection to the store.

    Attributes:
        kind: `good`; `away`: calls fail at once; `silent`: calls are accepted
            but never answered; `mute`: pending watches are never answered, new
            calls are; `slow`: answers take 50 times as long.
        calls: Number of calls.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.kind = "good"
        self.calls = 0

    def get(self, key):
        return self._call(0.0, lambda answer, empty: answer())

    def watch(self, key, after, timeout):
        server, clock = self.fleet.server, self.fleet.clock

        def wait(answer, empty):
            if server.version > after:
                answer()
                return
            server.watches.append(lambda: self.kind != "mute" and answer())
            clock.callLater(timeout, lambda: self.kind != "mute" and empty())

        return self._call(timeout, wait)

    def _call(self, timeout, action):
        self.calls += 1
        clock, server = self.fleet.clock, self.fleet.server
        done = defer.Deferred()
        if self.kind == "away":
            return defer.fail(errors.StoreUnavailableError("away"))

        def answer():
            value = ports.Versioned(server.value, server.version)
            clock.callLater(self._delay(), fire, value)

        def fire(value):
            if not done.called and self.kind != "silent":
                done.callback(value)

        clock.callLater(self._delay(), action, answer, lambda: fire(None))
        grace = store.WATCH_GRACE_SECONDS if timeout else store.CALL_SECONDS
        limit = timeout + grace

        def late(result, seconds):
            raise errors.StoreUnavailableError(f"no answer in {seconds} s")

        return done.addTimeout(limit, clock, late)

    def _delay(self):
        return ANSWER_SECONDS * (50 if self.kind == "slow" else 1)


class Instance:
    """One instance with gossip, calls and a follower."""

    def __init__(self, fleet, core, seed):
        self.fleet = fleet
        self.id = core.me.id
        self.core = core
        self.store = StoreClient(fleet)
        self.held = current.CurrentConfiguration()
        self.handlers = {}
        rng = random.Random(seed)
        self.loops = loops.Loops(fleet.clock, rng)
        self.follower = follow.Follower(
            self.id,
            "op/config",
            decode,
            running=self.loops,
            clock=fleet.clock,
            rng=rng,
            store=self.store,
            directory=view.GossipDirectory(core),
            broadcaster=view.LocalBroadcaster(
                core, lambda: fleet.net.now, self._send
            ),
            revisions=view.GossipRevisions(core),
            calls=self,
            held=self.held,
            reachable=core.reachable,
            wall=fleet.clock.seconds,
        )

    def _send(self, datagrams):
        self.fleet.net.send(self.id, datagrams)

    def register(self, method, handler):
        self.handlers[method] = handler

    def call(self, instance, method, body, timeout):
        """Calls another instance; fails if a path is blocked either way."""
        fleet = self.fleet
        fleet.calls += 1
        fleet.asked[instance] += 1
        done = defer.Deferred()
        fleet.clock.callLater(
            timeout,
            lambda: (
                done.called
                or done.errback(failures.call_error("call_timeout", "late"))
            ),
        )
        blocked = fleet.net.conditions.blocked
        if {(self.id, instance), (instance, self.id)} & blocked:
            return done

        def arrive():
            answer = fleet.instances[instance].handlers[method](self.id, body)
            fleet.document_bytes += len(answer)
            fleet.clock.callLater(
                fleet.tcp_delay_seconds(),
                lambda: done.called or done.callback(answer),
            )

        fleet.clock.callLater(fleet.tcp_delay_seconds(), arrive)
        return done


class Fleet:
    """Instances that follow the store and each other."""

    def __init__(self, size, seed):
        self.rng = random.Random(seed)
        self.net = network.Network(seed)
        self.clock = task.Clock()
        self.server = StoreServer()
        self.calls = 0
        # Calls received by each instance.
        self.asked: collections.Counter[str] = collections.Counter()
        self.document_bytes = 0
        cores = self.net.fleet(size, parameters=GOSSIP_PARAMETERS)
        self.instances = {
            core.me.id: Instance(self, core, f"{seed} {core.me.id}")
            for core in cores
        }
        for instance in self.instances.values():
            instance.follower.start()
        self.run(WARM_UP_SECONDS)

    def tcp_delay_seconds(self):
        """Returns the one-way delay over TCP, including retransmissions."""
        delay = self.rng.uniform(*self.net.conditions.delay)
        wait = RETRANSMIT_SECONDS
        while self.rng.random() < self.net.conditions.loss:
            delay += wait
            wait *= 2
        return delay

    def run(self, seconds):
        """Advances virtual time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.net.run(STEP_SECONDS)
            self.clock.advance(STEP_SECONDS)

    def store_calls(self):
        """Returns the number of calls to the store so far."""
        return sum(each.store.calls for each in self.instances.values())

    def behind(self, revision):
        """Returns the ids of the instances that run an older revision."""
        return [
            each.id
            for each in self.instances.values()
            if each.held.revision < revision
        ]

    def seconds_to(self, revision, max_seconds):
        """Advances time until all run a revision; returns the seconds."""
        start = self.net.now
        while self.behind(revision) and self.net.now - start < max_seconds:
            self.run(STEP_SECONDS)
        return self.net.now - start

    def inject_faults(self):
        """Injects random link and store faults; returns their counts.

        The first instance keeps a working store, since otherwise no instance
        could learn of a change.
        """
        ids = sorted(self.instances)
        conditions = self.net.conditions
        conditions.loss = self.rng.choice([0.0, 0.1, 0.3])
        share = self.rng.choice([0.0, 0.1, 0.3])
        conditions.blocked = {
            (one, other)
            for one in ids
            for other in ids
            if one != other and self.rng.random() < share
        }
        kinds = ["good", "away", "silent", "mute", "slow"]
        weights = [self.rng.random() for _ in kinds]
        for id in ids[1:]:
            chosen = self.rng.choices(kinds, weights)[0]
            self.instances[id].store.kind = chosen
        counts = collections.Counter(
            each.store.kind for each in self.instances.values()
        )
        return {"loss": conditions.loss, "one_way": share, **counts}

    def mute_watches(self):
        """Stalls all pending watches; new calls are answered."""
        for instance in self.instances.values():
            instance.store.kind = "mute"

    def isolate(self, share, seconds):
        """Isolates a share of the instances while the document changes.

        They can reach neither the store nor the other instances. Their pending
        watches stay stalled after the partition.
        """
        ids = sorted(self.instances)
        isolated = set(self.rng.sample(ids, round(share * len(ids))))
        conditions = self.net.conditions
        conditions.blocked = {
            (one, other)
            for one in ids
            for other in ids
            if one != other and (one in isolated or other in isolated)
        }
        for id in isolated:
            self.instances[id].store.kind = "silent"
        self.run(1.0)
        self.server.write(b"2")
        self.run(seconds - 1.0)
        conditions.blocked = set()
        for id in isolated:
            self.instances[id].store.kind = "mute"


def main() -> None:
    """Prints the time until all run a new revision for each seed."""
    kind, size, first, count = sys.argv[1], *map(int, sys.argv[2:5])
    found = []
    for seed in range(first, first + count):
        fleet = Fleet(size, seed)
        if kind == "cut":
            faults = fleet.isolate(0.4, 4.0)
        elif kind == "mute":
            fleet.run(follow.SETTLE_SECONDS)
            fleet.server.write(b"1")
            fleet.run(fleet.rng.uniform(1.0, 30.0))
            faults = fleet.mute_watches()
            fleet.server.write(b"2")
        else:
            faults = fleet.inject_faults()
            fleet.server.write(b"2")
        found.append(fleet.seconds_to(2, 30.0))
        print(seed, f"{found[-1]:.2f}", fleet.calls, faults, flush=True)
    found.sort()
    median = found[len(found) // 2]
    print(f"{size} instances: median {median:.2f} s, worst {found[-1]:.2f} s")


if __name__ == "__main__":
    main()
