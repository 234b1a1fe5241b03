"""Tests of the exchange of configurations between instances."""

import math
import random
import unittest

from hypothesis import given, settings, strategies
from parameterized import parameterized

from cicadafront import errors, ports
from cicadafront.config import exchange, parts, sync, trust
from tests.config.fleet import Fleet
from tests.config.support import sample
from tests.config.test_parts import publish

SEEDS = [(f"seed {seed}", seed) for seed in range(3)]
# P9 and P2 of docs/design.md.
IN_FORCE_SECONDS = 5.0
REVOKED_SECONDS = 5.0


class PropagationTest(unittest.TestCase):
    """Guards against instances that run an old or foreign configuration."""

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
        watching = [n for n in fleet.nodes.values() if n.path.counts["watch"]]
        by_centre = {}
        for node in watching:
            by_centre.setdefault(node.data_centre, []).append(node)
        self.assertEqual([len(n) for n in by_centre.values()], [3, 3, 3])
        calls = sum(n.path.counts["watch"] for n in watching)
        self.assertLess(calls / 20, 9 * 2.5)

    def test_starting_instance_asks_peers_before_the_store(self):
        fleet = Fleet(1, 12)
        fleet.apply(sample())
        fleet.run(5)
        fleet.store.set_outage(True)
        fleet.outage(fleet.nodes.values())
        late = fleet.add("late", "dc-0")
        late.path.faults.outage = True
        fleet.run(0.2)
        self.assertEqual(late.held.revision, 1)
        self.assertEqual(sum(late.path.counts.values()), 0)

    def test_damaged_parts_and_manifests_are_not_taken(self):
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
            n.id for n in fleet.nodes.values() if n.path.counts["watch"]
        }
        for node in fleet.nodes.values():
            expected = 2 if node.id in watching else 1
            self.assertEqual(node.held.revision, expected)
            rate = node.held.configuration.accounts["amani"].rate
            self.assertEqual(rate, expected)
        fleet.damage = lambda method, reply: reply
        fleet.run(10)
        self.assertEqual(fleet.revisions(), {2})

    def test_stale_store_does_not_take_a_revision_back(self):
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


class KeyTrustTest(unittest.TestCase):
    """Guards against revoked keys that work, and keys refused needlessly."""

    def _fleet(self, seed, size=15):
        fleet = Fleet(seed, size)
        fleet.apply(sample(rate=1.0))
        fleet.run(5)
        fleet.run(1)
        self.assertTrue(all(n.confirmed() for n in fleet.nodes.values()))
        return fleet

    @parameterized.expand(SEEDS)
    def test_quiet_fleet_is_always_confirmed(self, _name, seed):
        fleet = self._fleet(seed, 60)
        for _ in range(120):
            fleet.run(0.25)
            for node in fleet.nodes.values():
                self.assertTrue(node.confirmed(), node.id)

    @parameterized.expand(SEEDS)
    def test_outage_of_the_store_for_hours(self, _name, seed):
        fleet = self._fleet(seed)
        fleet.outage(fleet.nodes.values())
        for _ in range(400):
            fleet.run(0.25)
            for node in fleet.nodes.values():
                self.assertTrue(node.confirmed(), node.id)
        late = fleet.add("late", "dc-1")
        late.path.faults.outage = True
        fleet.run(5)
        self.assertTrue(late.confirmed(), "started during the outage")
        fleet.outage(fleet.nodes.values(), False)
        fleet.run(40)
        self.assertLess(late.sync.evidence_age(fleet.clock.seconds()), 4)

    @parameterized.expand([(f"seed {seed}", seed) for seed in range(6)])
    def test_revocation_right_after_an_outage(self, _name, seed):
        fleet = self._fleet(seed, 9)
        fleet.outage(fleet.nodes.values())
        fleet.run(100 + seed * 0.7)
        fleet.outage(fleet.nodes.values(), False)
        fleet.apply(sample(rate=2.0, accounts=2))
        fleet.run(REVOKED_SECONDS)
        self.assertEqual(fleet.revisions(), {2})

    def test_fault_of_a_part_does_not_stop_the_exchange(self):
        fleet = self._fleet(1, 3)
        node = fleet.nodes["i0"]
        node.held.on_change(lambda configuration: 1 / 0)
        seen = []
        node.held.on_change(lambda c: seen.append(c.revision))
        working, node.instances = node.instances, lambda: 1 / 0
        fleet.run(1)
        node.instances = working
        fleet.apply(sample(rate=2.0))
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(seen, [2])
        self.assertTrue(node.confirmed())

    @parameterized.expand(
        [
            (f"{size} of 15, seed {seed}", size, seed)
            for size in (1, 5, 7)
            for seed in range(3)
        ]
    )
    def test_minority_without_store_refuses_a_revoked_key(
        self, _name, size, seed
    ):
        fleet = self._fleet(seed)
        fleet.cut = {f"i{n}" for n in range(size)}
        inside = [fleet.nodes[id] for id in fleet.cut]
        fleet.outage(inside)
        fleet.run(0.5)
        fleet.apply(sample(rate=2.0, accounts=2))  # revokes a key
        fleet.run(REVOKED_SECONDS)
        for _ in range(200):
            fleet.run(0.5)
            for node in inside:
                self.assertFalse(node.confirmed(), node.id)
        outside = [n for n in fleet.nodes.values() if n.id not in fleet.cut]
        for node in outside:
            self.assertTrue(node.confirmed(), node.id)
            self.assertEqual(node.held.revision, 2)
        fleet.cut = set()
        fleet.run(15)
        self.assertEqual(fleet.revisions(), {2})
        self.assertTrue(all(n.confirmed() for n in inside))

    def test_data_centre_without_store_confirms_through_others(self):
        fleet = self._fleet(1, 30)
        inside = [n for n in fleet.nodes.values() if n.data_centre == "dc-0"]
        fleet.outage(inside)
        fleet.run(3)
        for _ in range(100):
            fleet.run(0.25)
            for node in inside:
                self.assertTrue(node.confirmed(), node.id)
                age = node.sync.evidence_age(fleet.clock.seconds())
                self.assertLess(age, 4.0)

    def test_outdated_instance_of_a_majority_refuses(self):
        state = trust.Trust()
        instances = [
            ports.InstanceInfo(str(n), 1, "dc", ("", 0)) for n in range(3)
        ]
        state.confirm(10.0)
        state.observe(10.0, 1, instances)
        state.asked(14.0, "1", True)
        state.asked(14.0, "2", False)
        state.observe(14.0, 1, instances)
        self.assertTrue(state.confirmed(15.0, 1))
        state.exists(2)
        self.assertFalse(state.confirmed(15.0, 1))
        self.assertTrue(state.confirmed(15.0, 2))

    def test_single_instance_survives_an_outage(self):
        fleet = self._fleet(1, 1)
        fleet.outage(fleet.nodes.values())
        fleet.run(60)
        self.assertTrue(fleet.nodes["i0"].confirmed())


class ExchangeTest(unittest.TestCase):
    """Guards against messages that lose content or stop the receiver."""

    def setUp(self):
        self.old, _ = publish(sample(rate=1.0))
        self.new, _ = publish(sample(rate=2.0), self.old)

    def reply(self, query, manifest, held=()):
        by_prefix = {exchange.prefix(m.digest): m for m in held}
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
        query = exchange.Query(1, exchange.prefix(self.old.digest))
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


class RandomFaultsTest(unittest.TestCase):
    """Guards P2 and P9 against sequences of faults nobody thought of.

    Left out is the documented gap of key trust: a majority that is cut off
    from a store that a minority still reaches.
    """

    @parameterized.expand([(f"seed {seed}", seed) for seed in range(4)])
    def test_confirmed_instances_run_what_was_applied(self, _name, seed):
        self.check_scenario(seed)

    def check_scenario(self, seed):
        """Runs random faults; a trial may call it with any seed."""
        rng = random.Random(seed)
        fleet = Fleet(seed, 12)
        applied = [(fleet.clock.seconds(), fleet.apply(sample(rate=1.0)))]
        fleet.run(6)
        for number in range(8):
            self._inject(fleet, rng)
            outage = all(n.path.faults.outage for n in fleet.nodes.values())
            for _ in range(rng.randrange(40, 100)):
                fleet.run(0.25)
                if not outage and rng.random() < 0.05:
                    rate = 2.0 + len(applied)
                    revision = fleet.apply(sample(rate=rate))
                    applied.append((fleet.clock.seconds(), revision))
                self._check(fleet, applied, number)
        fleet.cut = set()
        fleet.outage(fleet.nodes.values(), False)
        fleet.run(12)
        self.assertEqual(fleet.revisions(), {applied[-1][1]})
        self.assertTrue(all(n.confirmed() for n in fleet.nodes.values()))

    def _inject(self, fleet, rng):
        ids = sorted(fleet.nodes)
        fleet.cut = set(rng.sample(ids, rng.randrange(0, 6)))
        majority = [id for id in ids if id not in fleet.cut]
        match rng.randrange(4):
            case 0:
                away = set(ids)
            case 1:
                away = set()
            case 2:
                away = set(fleet.cut)
            case _:
                away = set(rng.sample(ids, rng.randrange(len(ids))))
                # The store stays in reach of a watcher of the majority.
                away -= set(majority)
        for id, node in fleet.nodes.items():
            fleet.outage([node], id in away)

    def _check(self, fleet, applied, number):
        now = fleet.clock.seconds()
        least = max(
            r for at, r in applied if now - at >= REVOKED_SECONDS or r == 1
        )
        for node in fleet.nodes.values():
            if node.confirmed():
                self.assertGreaterEqual(
                    node.held.revision, least, f"{node.id} in round {number}"
                )
