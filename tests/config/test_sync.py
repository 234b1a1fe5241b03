"""Tests of the synchronisation of configurations between instances."""

import math
import unittest

from hypothesis import given, settings, strategies
from parameterized import parameterized

from cicadafront import errors
from cicadafront.config import exchange, parts, sync
from tests.config.fleet import Fleet
from tests.config.support import sample
from tests.config.test_parts import publish

SEEDS = [(f"seed {seed}", seed) for seed in range(3)]
IN_FORCE_SECONDS = 5.0  # P9 of docs/design.md


class PropagationTest(unittest.TestCase):
    """Guards against instances that run an outdated or corrupt configuration.

    Causes are lost announcements, damaged replies and a stale store.
    """

    @parameterized.expand(SEEDS)
    def test_change_is_in_force_everywhere_in_time(self, _name, seed):
        fleet = Fleet(seed, 60)
        fleet.apply(sample(rate=1.0))
        fleet.run(5)
        self.assertEqual(fleet.revisions(), {1})
        for number in range(5):
            fleet.apply(sample(rate=2.0 + number))
            fleet.run(IN_FORCE_SECONDS)
            self.assertEqual(fleet.revisions(), {2 + number})
            for node in fleet.nodes.values():
                self.assertTrue(node.confirmed(), node.id)

    def test_only_three_instances_of_a_data_centre_watch(self):
        fleet = Fleet(1, 60)
        fleet.apply(sample())
        fleet.run(20)
        watching = [n for n in fleet.nodes.values() if n.store.counts["watch"]]
        by_centre = {}
        for node in watching:
            by_centre.setdefault(node.data_centre, []).append(node)
        self.assertEqual([len(n) for n in by_centre.values()], [3, 3, 3])
        calls = sum(n.store.counts["watch"] for n in watching)
        self.assertLess(calls / 20, 9 * 2.5)

    def test_starting_instance_asks_peers_before_the_store(self):
        fleet = Fleet(1, 12)
        fleet.apply(sample())
        fleet.run(5)
        fleet.store.set_outage(True)
        fleet.outage(fleet.nodes.values())
        late = fleet.add("late", "dc-0")
        late.store.faults.outage = True
        fleet.run(0.2)
        self.assertEqual(late.held.revision, 1)
        self.assertEqual(sum(late.store.counts.values()), 0)

    def test_damaged_parts_and_manifests_are_rejected(self):
        fleet = Fleet(1, 12)
        fleet.apply(sample(rate=1.0))
        fleet.run(5)

        def damage(method, reply):
            half = bytearray(reply)
            if method == sync.PART_METHOD or len(reply) > 30:
                half[len(half) // 2] ^= 0xFF
            return bytes(half)

        fleet.damage = damage
        fleet.apply(sample(rate=2.0))
        fleet.run(10)
        watching = {
            n.id for n in fleet.nodes.values() if n.store.counts["watch"]
        }
        for node in fleet.nodes.values():
            expected = 2 if node.id in watching else 1
            self.assertEqual(node.held.revision, expected)
            rate = node.held.configuration.accounts["amani"].rate
            self.assertEqual(rate, expected)
        fleet.damage = lambda method, reply: reply
        fleet.run(10)
        self.assertEqual(fleet.revisions(), {2})

    def test_stale_store_does_not_revert_the_revision(self):
        fleet = Fleet(1, 9)
        for number in range(3):
            fleet.apply(sample(rate=1.0 + number))
        fleet.run(5)
        manifest, cache = publish(sample(rate=9.0))
        for digest in manifest.parts.values():
            fleet.store.put(f"config/part/{digest}", cache.packed(digest))
        fleet.store.put("config/manifest", manifest.pack())
        fleet.run(10)
        self.assertEqual(fleet.revisions(), {3})

    def test_lost_announcements_are_repaired(self):
        fleet = Fleet(1, 30)
        fleet.apply(sample(rate=1.0))
        fleet.run(5)
        for node in fleet.nodes.values():
            node.topics.clear()
        fleet.apply(sample(rate=2.0))
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(fleet.revisions(), {2})


class ExchangeTest(unittest.TestCase):
    """Guards against messages that lose content or crash the receiver."""

    def setUp(self):
        self.old, _ = publish(sample(rate=1.0))
        self.new, _ = publish(sample(rate=2.0), self.old)

    def reply(self, query, manifest, held=()):
        by_prefix = {exchange.digest_prefix(m.digest): m for m in held}
        return exchange.encode_reply(query, manifest, 1.5, True, by_prefix)

    @parameterized.expand(
        [
            ("difference", True, True),
            ("whole", False, True),
            ("nothing newer", True, False),
        ]
    )
    def test_reply(self, _name, known, newer):
        asker = self.old if newer else self.new
        query = exchange.decode_query(
            exchange.encode_query(asker.revision, asker.digest)
        )
        body = self.reply(query, self.new, [asker] if known else [])
        reply = exchange.decode_reply(body, asker)
        self.assertEqual(reply.manifest, self.new if newer else None)
        self.assertEqual((reply.age, reply.trusted), (1.5, True))

    def test_difference_to_another_base_is_refused(self):
        query = exchange.Query(1, exchange.digest_prefix(self.old.digest))
        body = self.reply(query, self.new, [self.old])
        with self.assertRaises(parts.PartDamagedError):
            exchange.decode_reply(body, None)

    def test_no_configuration_yet(self):
        body = exchange.encode_reply(
            exchange.Query(0, bytes(8)), None, math.inf, False, {}
        )
        reply = exchange.decode_reply(body, None)
        self.assertEqual((reply.revision, reply.age), (0, math.inf))

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(strategies.binary(max_size=80), strategies.integers(0, 7))
    def test_arbitrary_bytes(self, data, flags):
        for decode in (
            exchange.decode_query,
            exchange.decode_announcement,
            lambda d: exchange.decode_reply(d, None),
            lambda d: exchange.decode_reply(bytes([flags]) + d, None),
        ):
            try:
                decode(data)
            except errors.CicadafrontError as error:
                self.assertIn(error.code, ("message_invalid", "part_damaged"))
