"""Tests of following a configuration stored as a single document."""

import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors, loops, ports
from cicadafront.config import current, fetch, follow
from cicadafront.config import model as config_model
from cicadafront.peer import failures

KEY = "op/config"
# Time within which an accepted configuration must be active everywhere.
IN_FORCE_SECONDS = 2.0


def decode(document):
    """Decodes a document that consists of a revision only."""
    if document == b"surprise":
        raise OverflowError("an error that the follower does not expect")
    if not document.isdigit():
        raise follow.DocumentError("The document is not a number.")
    return config_model.Configuration(revision=int(document))


class Store:
    """A store with one key; watches wait until it is written."""

    def __init__(self):
        self.version = 0
        self.value = b""
        self.away = False
        self.waiting = []
        self.calls = 0

    def write(self, value):
        """Writes the key and answers the pending watches."""
        self.version += 1
        self.value = value
        if self.away:
            return
        waiting, self.waiting = self.waiting, []
        for done in waiting:
            done.callback(ports.Versioned(value, self.version))

    def take_down(self):
        """Makes the store unavailable; pending watches fail."""
        self.away = True
        waiting, self.waiting = self.waiting, []
        for done in waiting:
            done.errback(errors.StoreUnavailableError("away"))

    def get(self, key):
        self.calls += 1
        if self.away:
            return defer.fail(errors.StoreUnavailableError("away"))
        if not self.version:
            return defer.succeed(None)
        return defer.succeed(ports.Versioned(self.value, self.version))

    def watch(self, key, after, timeout):
        self.calls += 1
        if self.away:
            return defer.fail(errors.StoreUnavailableError("away"))
        if self.version > after:
            return defer.succeed(ports.Versioned(self.value, self.version))
        done = defer.Deferred()
        self.waiting.append(done)
        return done


class Fleet:
    """Followers connected to each other, on virtual time."""

    def __init__(self, count):
        self.clock = task.Clock()
        self.stores = [Store() for _ in range(count)]
        self.handlers = {}
        self.broadcast_handlers = {}
        self.revision_channels = []
        self.broadcasts = 0
        self.calls = 0
        # Seconds until a call is answered.
        self.call_seconds = 0.0
        self.held = [current.CurrentConfiguration() for _ in range(count)]
        self.recovered = []
        self.followers = [self._follower(n) for n in range(count)]

    def _follower(self, number):
        here = f"n{number}"
        return follow.Follower(
            here,
            KEY,
            decode,
            running=loops.Loops(self.clock, random.Random(number)),
            clock=self.clock,
            rng=random.Random(number),
            store=self.stores[number],
            directory=self,
            broadcaster=Broadcaster(self, here),
            revisions=Revisions(self, here),
            calls=Calls(self, here),
            held=self.held[number],
            wall=self.clock.seconds,
            on_store_recovered=lambda: self.recovered.append(here),
        )

    def start(self):
        """Starts all followers."""
        for follower in self.followers:
            follower.start()

    def instances(self):
        return [
            ports.InstanceInfo(id, 1, "dc", ("", 0)) for id in self.handlers
        ]

    def run(self, seconds):
        """Advances virtual time."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    @property
    def revisions(self):
        """Active revisions."""
        return [held.revision for held in self.held]


class Revisions:
    """Exchange of the active revisions, twice a second."""

    def __init__(self, fleet, here):
        self.fleet, self.here = fleet, here
        self.revision = 0

    def publish(self, revision):
        self.revision = revision

    def on_revision(self, handler):
        def pass_on():
            for other in self.fleet.revision_channels:
                if other.here != self.here:
                    handler(other.here, other.revision)
            self.fleet.clock.callLater(0.5, pass_on)

        self.fleet.revision_channels.append(self)
        self.fleet.clock.callLater(0.5, pass_on)


class Broadcaster:
    """Broadcasts to and from one instance."""

    def __init__(self, fleet, here):
        self.fleet, self.here = fleet, here

    def broadcast(self, topic, payload):
        self.fleet.broadcasts += 1
        for here, handler in self.fleet.broadcast_handlers.items():
            if here != self.here:
                handler(payload)

    def on_broadcast(self, topic, handler):
        self.fleet.broadcast_handlers[self.here] = handler


class Calls:
    """Calls from one instance to the others."""

    def __init__(self, fleet, here):
        self.fleet, self.here = fleet, here

    def register(self, method, handler):
        self.fleet.handlers.setdefault(self.here, {})[method] = handler

    def call(self, instance, method, body, timeout):
        self.fleet.calls += 1
        handler = self.fleet.handlers[instance].get(method)
        if handler is None:
            return defer.fail(failures.call_error("method_unknown", method))
        answer = handler(self.here, body)
        if not self.fleet.call_seconds:
            return defer.succeed(answer)
        done = defer.Deferred()
        self.fleet.clock.callLater(
            self.fleet.call_seconds, done.callback, answer
        )
        return done


class FollowTest(unittest.TestCase):
    """Guards against instances that keep an old configuration.

    This happens if the store is unavailable to an instance, its watch stalls,
    a broadcast is lost or an error ends the watch.
    """

    def test_change_arrives_through_the_watch(self):
        fleet = Fleet(1)
        fleet.start()
        fleet.stores[0].write(b"3")
        fleet.run(1)
        self.assertEqual(fleet.revisions, [3])
        fleet.stores[0].write(b"5")
        self.assertEqual(fleet.revisions, [5])

    @parameterized.expand([("older", b"2"), ("damaged", b"x"), ("empty", b"")])
    def test_revision_never_goes_back(self, _name, document):
        fleet = Fleet(1)
        fleet.stores[0].write(b"3")
        fleet.start()
        fleet.stores[0].write(document)
        fleet.run(1)
        self.assertEqual(fleet.revisions, [3])
        fleet.stores[0].write(b"4")
        self.assertEqual(fleet.revisions, [4])

    def test_instance_without_store_fetches_from_peers(self):
        fleet = Fleet(3)
        for store in fleet.stores:
            store.write(b"1")
        fleet.start()
        fleet.stores[2].take_down()
        for store in fleet.stores[:2]:
            store.write(b"2")
        fleet.run(2 * follow.PEER_POLL_SECONDS)
        self.assertEqual(fleet.revisions, [2, 2, 2])

    def test_broadcast_compensates_for_a_stalled_watch(self):
        fleet = Fleet(3)
        for store in fleet.stores:
            store.write(b"1")
        fleet.start()
        fleet.stores[2].waiting.clear()
        for store in fleet.stores:
            store.write(b"2")
        fleet.run(2 * follow.BROADCAST_SPREAD_SECONDS)
        self.assertEqual(fleet.revisions, [2, 2, 2])

    def test_stalled_watch_and_missed_broadcast(self):
        fleet = Fleet(3)
        for store in fleet.stores:
            store.write(b"1")
        fleet.start()
        fleet.run(1)
        fleet.stores[2].waiting.clear()
        broadcast_handlers = fleet.broadcast_handlers.pop("n2")
        for store in fleet.stores:
            store.write(b"2")
        fleet.run(0.5)
        fleet.broadcast_handlers["n2"] = broadcast_handlers
        fleet.run(IN_FORCE_SECONDS - 0.5)
        self.assertEqual(fleet.revisions, [2, 2, 2])

    def test_older_document_hides_a_newer_revision(self):
        fleet = Fleet(3)
        for store in fleet.stores:
            store.write(b"1")
        fleet.start()
        fleet.run(1)
        fleet.stores[2].waiting.clear()
        for store in fleet.stores[:2]:
            store.write(b"2")
        # Both are called before either has answered, and neither has yet the
        # revision that the broadcasts tell.
        fleet.call_seconds = 1.0
        for _ in range(20):
            for sender in (b"n0", b"n1"):
                payload = (3).to_bytes(8, "big") + sender
                fleet.broadcast_handlers["n2"](payload)
            fleet.run(0.05)
        fleet.run(1.0)
        fleet.call_seconds = 0.0
        for store in fleet.stores[:2]:
            store.write(b"3")
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(fleet.revisions, [3, 3, 3])

    def test_peers_of_an_earlier_version(self):
        fleet = Fleet(3)
        for store in fleet.stores:
            store.write(b"1")
        fleet.start()
        fleet.stores[2].take_down()
        for peer in ("n0", "n1"):
            del fleet.handlers[peer][fetch.PAGE_METHOD]
        for store in fleet.stores[:2]:
            store.write(b"2")
        fleet.run(2 * follow.PEER_POLL_SECONDS)
        self.assertEqual(fleet.revisions, [2, 2, 2])

    def test_unexpected_error_does_not_end_the_watch(self):
        fleet = Fleet(1)
        fleet.stores[0].write(b"1")
        fleet.start()
        fleet.stores[0].write(b"surprise")
        fleet.run(IN_FORCE_SECONDS)
        fleet.stores[0].write(b"2")
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(fleet.revisions, [2])

    def test_failed_handler_is_retried(self):
        fleet = Fleet(1)
        taken = []

        def handler(configuration):
            taken.append(configuration.revision)
            if len(taken) == 1:
                raise ValueError("not now")

        fleet.held[0].on_change(handler)
        fleet.stores[0].write(b"3")
        fleet.start()
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(taken, [3, 3])

    def test_few_instances_broadcast_a_change(self):
        fleet = Fleet(20)
        fleet.start()
        for store in fleet.stores:
            store.write(b"1")
        fleet.run(1)
        self.assertLessEqual(fleet.broadcasts, 2)

    def test_empty_store_is_watched(self):
        fleet = Fleet(1)
        fleet.start()
        fleet.run(10)
        self.assertLessEqual(fleet.stores[0].calls, 2)
        # The first configuration needs no further read.
        fleet.stores[0].write(b"1")
        self.assertEqual(fleet.revisions, [1])

    def test_empty_store_that_ends_watches_is_polled_with_backoff(self):
        fleet = Fleet(1)
        fleet.stores[0].watch = lambda key, after, timeout: fleet.stores[0].get(
            key
        )
        fleet.start()
        fleet.run(10)
        self.assertLessEqual(fleet.stores[0].calls, 20)

    def test_first_configuration_is_fetched_from_no_peer(self):
        # All instances start before the operators have written anything.
        fleet = Fleet(20)
        fleet.start()
        fleet.run(3)
        for store in fleet.stores:
            store.write(b"1")
        fleet.run(1)
        self.assertEqual(fleet.revisions, [1] * 20)
        self.assertEqual(fleet.calls, 0)

    def test_store_recovery(self):
        fleet = Fleet(1)
        fleet.stores[0].write(b"1")
        fleet.start()
        fleet.stores[0].take_down()
        fleet.run(20)
        # The backoff doubles, so an outage causes few calls.
        self.assertLess(fleet.stores[0].calls, 25)
        fleet.stores[0].away = False
        fleet.stores[0].write(b"2")
        fleet.recovered.clear()
        fleet.run(follow.MAX_RETRY_SECONDS)
        self.assertEqual(fleet.revisions, [2])
        self.assertEqual(fleet.recovered, ["n0"])

    def test_other_content_of_the_same_revision_is_ignored(self):
        fleet = Fleet(1)
        fleet.stores[0].write(b"3")
        fleet.start()
        first = fleet.held[0].configuration
        fleet.stores[0].write(b"03")
        self.assertIs(fleet.held[0].configuration, first)
