"""Tests of the registration of instances in the store."""

import json
import random
import unittest

from parameterized import parameterized
from twisted.internet import task

from cicadafront import loops, ports
from cicadafront.membership import registration, stored_facts
from tests.membership import fake_store


class RegistrationTest(unittest.TestCase):
    """Guards against instances that new instances cannot find.

    Entries may be invalid, and the store may be unavailable or read-only, or
    may have expired the lease of an entry.
    """

    def setUp(self):
        self.clock = task.Clock()
        self.store = fake_store.Store(self.clock)
        self.found = []
        self.alone = True
        self.target = {}
        self.restored = []
        self.first_lists = []

    def register(self, name="n1", port=1):
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
            on_first_list=self.first_lists.append,
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

    @parameterized.expand([("store_answers", False), ("store_is_away", True)])
    def test_first_list_is_reported_once(self, _name, away):
        # Guards against heartbeats that take effect before it is known which
        # targets have left.
        self.store.unavailable = away
        self.register()
        self.run_for(1)
        self.assertEqual(len(self.first_lists), int(not away))
        self.store.unavailable = False
        self.run_for(10)
        self.assertEqual(len(self.first_lists), 1)

    def test_facts_are_no_entries(self):
        self.register()
        key = f"{registration.PREFIX}n1{stored_facts.KEY_SUFFIX}"
        self.store.entries[key] = ports.Versioned(b'{"facts": []}', 1)
        self.found.clear()
        new = self.register("n2", 2)
        self.assertEqual(self.found, [("10.0.0.1", 1)])
        self.assertEqual(new._logged_versions, {})

    def test_late_write_does_not_replace_the_entry(self):
        # Guards against a write without an answer that is done after a later
        # one and brings back what the entry held before.
        registered = self.register()
        self.store.lost_puts = [5.5]
        for target in ({"id": "t1"}, {}, {"id": "t2"}):
            self.target = target
            registered.content_changed()
            self.run_for(2)
        self.run_for(5)
        entry = self.store.entries[f"{registration.PREFIX}n1"].value
        self.assertEqual(json.loads(entry)["target"], {"id": "t2"})
        self.assertEqual(self.store.late_puts, 0)

    def test_write_that_was_done_without_an_answer(self):
        registered = self.register()
        self.store.lost_puts = [0.0]
        for target in ({"id": "t1"}, {"id": "t2"}):
            self.target = target
            registered.content_changed()
            self.run_for(2)
        entry = self.store.entries[f"{registration.PREFIX}n1"].value
        self.assertEqual(json.loads(entry)["target"], {"id": "t2"})
        self.assertEqual(self.store.granted, 1)
