"""Tests of the facts that an instance keeps in the store."""

import json
import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import loops, ports
from cicadafront.membership import handover, registration, stored_facts
from tests.membership import fake_store

DAY = 1_800_000_000
KEY = registration.entry_key("n1") + stored_facts.KEY_SUFFIX


class StoredFactsTest(unittest.TestCase):
    """Guards against knowledge that ends with the process that has it."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = fake_store.Store(self.clock)
        self.started = DAY

    def start(self, instance="n1"):
        """Starts a process, which reads the store; returns both parts."""
        facts = handover.Handover(
            instance, lambda: self.started + self.clock.seconds()
        )
        facts.on_fact("t", lambda payload, age: None)
        stored = stored_facts.StoredFacts(
            registration.entry_key(instance),
            running=loops.Loops(self.clock, random.Random(1)),
            store=self.store,
            facts=facts,
            clock=self.clock,
            rng=random.Random(1),
        )
        stored.start()
        stored.learn(self.store.entries)
        return facts, stored

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)

    def payloads(self, facts):
        return [fact.payload for fact in facts._current()]

    def in_store(self):
        """Returns the number of facts in the store."""
        item = self.store.entries.get(KEY)
        return len(json.loads(item.value)["facts"]) if item else 0

    @parameterized.expand([("own", "n1", 1), ("another", "n2", 0)])
    def test_next_process_learns_the_facts(self, _name, instance, own):
        facts, _ = self.start()
        facts.add("t", b"s", b"p", own=True)
        self.run_for(1)
        new, _ = self.start(instance)
        self.assertEqual(self.payloads(new), [b"p"])
        self.assertEqual(len(new.for_store()), own)
        self.assertTrue(new.informed)
        calls = len(self.store.calls)
        self.run_for(10)
        self.assertEqual(len(self.store.calls), calls)

    def test_end_of_the_leases(self):
        facts, _ = self.start()
        facts.add("t", b"s", b"p", own=True)
        self.run_for(1)
        self.store.end_leases()
        self.assertEqual(self.payloads(self.start()[0]), [b"p"])

    def test_facts_in_an_entry_of_an_earlier_version(self):
        facts = handover.Handover("n1", lambda: DAY)
        facts.add("t", b"s", b"p", own=True)
        document = {"gossip": ["10.0.0.1", 1], "facts": facts.for_store()}
        key = registration.entry_key("n1")
        self.store.entries[key] = ports.Versioned(
            json.dumps(document).encode(), 1
        )
        new, _ = self.start()
        self.assertEqual(self.payloads(new), [b"p"])
        self.run_for(1)
        self.assertEqual(self.in_store(), 1)

    def test_written_at_once_when_waited_for(self):
        # Guards against an acknowledgement that a kill makes untrue.
        facts, stored = self.start()
        facts.add("t", b"s", b"p", own=True)
        written = []
        stored.when_written(9.0).addCallback(written.append)
        self.clock.advance(0)
        self.assertEqual((written, self.in_store()), ([None], 1))
        self.assertIn(b'"payload": "cA=="', self.store.entries[KEY].value)
        stored.when_written(9.0).addCallback(written.append)
        self.assertEqual(len(written), 2)

    def test_not_written_while_the_store_is_away(self):
        facts, stored = self.start()
        self.store.unavailable = True
        facts.add("t", b"s", b"p", own=True)
        ended = []
        stored.when_written(1.0).addBoth(ended.append)
        self.run_for(2)
        self.assertIs(ended[0].check(defer.TimeoutError), defer.TimeoutError)
        self.store.unavailable = False
        stored.store_recovered()
        self.run_for(4)
        self.assertEqual(self.in_store(), 1)

    @parameterized.expand(
        [
            (f"{when}_{'same' if same else 'next'}_process", seconds, same)
            for when, seconds in (("unanswered", 0.0), ("late", 5.5))
            for same in (True, False)
        ]
    )
    def test_write_without_an_answer(self, _name, seconds, same_process):
        # Guards against a late write that undoes the record of a departure.
        facts, stored = self.start()
        self.store.lost_puts = [seconds]
        facts.add("t", b"1", b"first", own=True)
        self.run_for(0.5)
        if not same_process:
            stored.stop()
            facts, stored = self.start()
        facts.add("t", b"2", b"second", own=True)
        written = []
        stored.when_written(9.0).addCallback(written.append)
        self.run_for(4)
        self.assertEqual(written, [None])
        self.run_for(4)
        self.assertIn(b"second", self.payloads(self.start()[0]))
        if same_process or not seconds:
            # The first one was known when the second one was written.
            self.assertIn(b"first", self.payloads(self.start()[0]))

    def test_late_write_of_an_earlier_process_is_not_lost(self):
        facts, stored = self.start()
        self.store.lost_puts = [2.0]
        facts.add("t", b"1", b"first", own=True)
        self.run_for(0.5)
        stored.stop()
        facts, stored = self.start()
        self.run_for(3)
        self.assertEqual(self.store.late_puts, 1)
        facts.add("t", b"2", b"second", own=True)
        self.run_for(1)
        self.assertEqual(
            sorted(self.payloads(self.start()[0])), [b"first", b"second"]
        )

    def test_discarded_and_expired_facts_are_removed(self):
        facts, _ = self.start()
        facts.add("t", b"1", b"first", own=True)
        facts.add("t", b"2", b"second", own=True)
        self.run_for(1)
        facts.discard("t", b"1")
        self.run_for(1)
        self.assertEqual(self.in_store(), 1)
        self.run_for(handover.LIFETIME_SECONDS + stored_facts.CHECK_SECONDS)
        self.assertNotIn(KEY, self.store.entries)

    @parameterized.expand(
        [
            ("expired", 601, False, False),
            ("in_force", 590, False, True),
            ("instance_is_there", 601, True, True),
        ]
    )
    def test_facts_of_an_instance_that_is_gone(
        self, _name, seconds, registered, kept
    ):
        # Guards against a store that fills with the facts of former machines.
        facts, stored = self.start()
        facts.add("t", b"s", b"p", own=True)
        self.run_for(1)
        stored.stop()
        if registered:
            self.store.entries[registration.entry_key("n1")] = ports.Versioned(
                b"{}", 1
            )
        self.started += seconds
        self.start("n2")
        self.run_for(1)
        self.assertEqual(KEY in self.store.entries, kept)

    @parameterized.expand([(b"x",), (b"[]",), (b'{"facts": 3}',), (b"\xff",)])
    def test_invalid_facts_are_replaced(self, value):
        self.store.entries[KEY] = ports.Versioned(value, 1)
        facts, _ = self.start()
        self.assertTrue(facts.informed)
        facts.add("t", b"s", b"p", own=True)
        self.run_for(1)
        self.assertEqual(self.payloads(self.start()[0]), [b"p"])


if __name__ == "__main__":
    unittest.main()
