"""Tests of the registration of instances in the store."""

import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors, loops, ports
from cicadafront.membership import handover, registration


class Store:
    """Fake store whose leases expire only when a test ends them."""

    def __init__(self, clock):
        self.clock = clock
        self.entries = {}
        self.leases = set()
        self.granted = 0
        self.unavailable = False
        self.read_only = False
        self.calls = []

    def _answer(self, call, action):
        self.calls.append(call)
        if self.unavailable or (self.read_only and call in ("grant", "put")):
            error = errors.StoreUnavailableError("away")
            done = defer.Deferred()
            self.clock.callLater(0.5, done.errback, error)
            return done
        return defer.maybeDeferred(action)

    def end_leases(self):
        """Ends all leases and deletes their entries."""
        self.leases.clear()
        self.entries.clear()

    def grant_lease(self, ttl):
        def grant():
            self.granted += 1
            self.leases.add(str(self.granted))
            return str(self.granted)

        return self._answer("grant", grant)

    def renew_lease(self, lease):
        def renew():
            if lease not in self.leases:
                raise errors.StoreConflictError("ended")

        return self._answer("renew", renew)

    def revoke_lease(self, lease):
        return self._answer("revoke", lambda: self.leases.discard(lease))

    def put(self, key, value, expected=None, lease=""):
        def put():
            if lease not in self.leases:
                raise errors.StoreConflictError("no lease")
            self.entries[key] = ports.Versioned(value, 1, lease)
            return 1

        return self._answer("put", put)

    def list(self, prefix):
        return self._answer("list", lambda: dict(self.entries))


class RegistrationTest(unittest.TestCase):
    """Guards against instances that new instances cannot find.

    Entries may be invalid, and the store may be unavailable or read-only, or
    may have expired the lease of an entry.
    """

    def setUp(self):
        self.clock = task.Clock()
        self.store = Store(self.clock)
        self.found = []
        self.alone = True
        self.target = {}
        self.restored = []
        self.first_reads = 0

    def count_first_read(self):
        self.first_reads += 1

    def register(self, name="n1", port=1, facts=None):
        """Starts the registration of an instance."""
        registered = registration.Registration(
            name,
            ("10.0.0.1", port),
            running=loops.Loops(self.clock, random.Random(port)),
            store=self.store,
            found=self.found.extend,
            alone=lambda: self.alone,
            target=lambda: self.target,
            restore_target=self.restored.append,
            facts=facts,
            on_first_read=self.count_first_read,
        )
        registered.start()
        return registered

    def run_for(self, seconds):
        """Advances the clock."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)

    def test_new_instance_finds_the_others(self):
        self.register()
        self.found.clear()
        self.register("n2", 2)
        self.assertEqual(self.found, [("10.0.0.1", 1)])

    def test_malformed_entries_are_skipped(self):
        self.register()
        for number, value in enumerate((b"x", b"{}", b'{"gossip": 3}')):
            key = f"{registration.PREFIX}x{number}"
            self.store.entries[key] = ports.Versioned(value, 1)
        self.found.clear()
        self.register("n2", 2)
        self.assertEqual(self.found, [("10.0.0.1", 1)])

    @parameterized.expand(
        [
            ("nested", b"[" * 100_000),
            ("nested_target", b'{"target": ' + b"[" * 100_000),
            ("infinite", b'{"gossip": ["10.0.0.9", 1e999]}'),
            ("digits", b'{"gossip": ["10.0.0.9", ' + b"9" * 5000 + b"]}"),
            ("port", b'{"gossip": ["10.0.0.9", 99999999]}'),
            ("negative", b'{"gossip": ["10.0.0.9", -1]}'),
            ("zero", b'{"gossip": ["10.0.0.9", 0]}'),
            ("bool", b'{"gossip": ["10.0.0.9", true]}'),
            ("text", b'{"gossip": ["10.0.0.9", "7002"]}'),
            ("host", b'{"gossip": [["10.0.0.9"], 7002]}'),
            ("name", b'{"gossip": ["n9.example", 7002]}'),
            ("list", b"[]"),
            ("empty", b""),
            ("bytes", b"\xff\xfe"),
        ]
    )
    def test_invalid_entry_is_skipped(self, _name, value):
        self.register()
        self.store.entries[f"{registration.PREFIX}x"] = ports.Versioned(
            value, 1
        )
        self.found.clear()
        self.register("n2", 2)
        self.run_for(1)
        self.assertEqual(set(self.found), {("10.0.0.1", 1)})
        self.assertEqual(len(self.store.entries), 3)

    @parameterized.expand(
        [("nested", b"[" * 100_000), ("port", b'{"gossip": ["a", 1e999]}')]
    )
    def test_invalid_entry_of_this_instance_is_replaced(self, _name, value):
        key = f"{registration.PREFIX}n1"
        self.store.entries[key] = ports.Versioned(value, 1)
        self.register()
        self.run_for(1)
        self.assertIn(b"10.0.0.1", self.store.entries[key].value)

    def test_others_are_found_while_the_store_is_read_only(self):
        self.register()
        self.found.clear()
        self.store.read_only = True
        self.register("n2", 2)
        self.run_for(1)
        self.assertEqual(set(self.found), {("10.0.0.1", 1)})

    def test_number_of_store_calls_per_minute(self):
        self.alone = False
        self.register()
        self.run_for(60)
        self.assertLessEqual(len(self.store.calls), 6)

    def test_expired_entry_is_written_after_an_outage(self):
        registered = self.register()
        self.store.unavailable = True
        self.run_for(30)
        self.store.end_leases()
        self.store.unavailable = False
        registered.store_recovered()
        self.run_for(2)
        self.assertEqual(len(self.store.entries), 1)

    def test_entry_is_written_after_an_outage_that_a_call_outlasts(self):
        registered = self.register()
        self.store.unavailable = True
        self.run_for(30)
        while "renew" not in self.store.calls[-1:]:
            self.run_for(0.1)
        # A renewal is in progress; it will fail.
        self.store.end_leases()
        self.store.unavailable = False
        registered.store_recovered()
        self.run_for(1)
        self.assertEqual(len(self.store.entries), 1)

    def test_others_are_listed_once_while_writes_fail(self):
        self.alone = False
        self.store.read_only = True
        self.register()
        self.run_for(30)
        self.assertEqual(self.store.calls.count("list"), 1)

    def test_store_unavailable_at_the_start(self):
        self.store.unavailable = True
        self.register()
        self.run_for(10)
        self.assertLess(len(self.store.calls), 15)
        self.store.unavailable = False
        self.run_for(registration.MAX_RETRY_SECONDS + 0.5)
        self.assertEqual(len(self.store.entries), 1)

    def test_instance_without_peers_searches_again(self):
        self.register()
        self.store.entries[registration.PREFIX + "n2"] = ports.Versioned(
            b'{"gossip": ["10.0.0.2", 2]}', 1
        )
        self.run_for(registration.MIN_SEARCH_SECONDS + 0.2)
        self.assertEqual(self.found, [("10.0.0.2", 2)])

    def test_planned_stop_does_not_wait_for_the_store(self):
        registered = self.register()
        calls = len(self.store.calls)
        self.store.unavailable = True
        self.assertIsNone(registered.stop())
        self.run_for(2 * registration.LEASE_SECONDS)
        self.assertEqual(len(self.store.calls), calls)

    @parameterized.expand([("killed", False), ("stopped", True)])
    def test_target_is_restored(self, _name, stopped):
        registered = self.register()
        self.target = {"id": "t1"}
        registered.content_changed()
        self.run_for(1)
        if stopped:
            registered.stop()
        self.register()
        self.assertEqual(self.restored, [{"id": "t1"}])

    def test_target_that_left_is_not_restored(self):
        registered = self.register()
        for target in ({"id": "t1"}, {}):
            self.target = target
            registered.content_changed()
            self.run_for(1)
        self.register()
        self.assertEqual(self.restored, [{}])

    def test_unchanged_target_causes_no_call(self):
        self.target = {"id": "t1"}
        registered = self.register()
        calls = len(self.store.calls)
        registered.content_changed()
        self.run_for(1)
        self.assertEqual(len(self.store.calls), calls)

    def test_malformed_entry_of_this_instance(self):
        key = f"{registration.PREFIX}n1"
        for value in (b"x", b"[]", b'{"target": 3}'):
            self.store.entries[key] = ports.Versioned(value, 1)
            self.register()
        self.assertEqual(self.restored, [{}, {}, {}])

    @parameterized.expand([("own", "n1", True), ("another", "n2", False)])
    def test_facts_reach_the_next_process(self, _name, id, own):
        # Guards against knowledge that ends with the process that has it.
        facts = handover.Handover()
        self.register(facts=facts)
        facts.add("t", b"s", b"p", own=True)
        self.run_for(1)
        new, learned = handover.Handover(), []
        new.on_fact("t", lambda payload, age: learned.append(payload))
        self.register(id, 2, facts=new)
        self.assertEqual(learned, [b"p"])
        self.assertEqual(len(new.for_store()), int(own))

    def test_written_at_once_when_waited_for(self):
        # Guards against an acknowledgement that a kill makes untrue.
        facts = handover.Handover()
        registered = self.register(facts=facts)
        facts.add("t", b"s", b"p", own=True)
        written = []
        registered.when_written().addCallback(written.append)
        self.clock.advance(0)
        self.assertEqual(written, [None])
        entry = self.store.entries[f"{registration.PREFIX}n1"]
        self.assertIn(b'"payload": "cA=="', entry.value)
        registered.when_written().addCallback(written.append)
        self.assertEqual(len(written), 2)

    def test_not_written_while_the_store_is_away(self):
        facts = handover.Handover()
        registered = self.register(facts=facts)
        self.store.unavailable = True
        facts.add("t", b"s", b"p", own=True)
        written, ended = registered.when_written(), []
        written.addTimeout(1.0, self.clock, lambda *_: "timeout")
        written.addCallback(ended.append)
        self.run_for(2)
        self.assertEqual(ended, ["timeout"])
        self.store.unavailable = False
        self.run_for(5)
        entry = self.store.entries[f"{registration.PREFIX}n1"]
        self.assertIn(b'"payload": "cA=="', entry.value)

    @parameterized.expand([("store_answers", False), ("store_is_away", True)])
    def test_end_of_the_first_read_is_reported_once(self, _name, away):
        self.store.unavailable = away
        self.register()
        self.run_for(1)
        self.assertEqual(self.first_reads, 1)
        self.store.unavailable = False
        self.run_for(10)
        self.assertEqual(self.first_reads, 1)
