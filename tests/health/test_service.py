"""Tests of judging, ejecting and crash suspects across instances."""

import unittest

from parameterized import parameterized

from cicadafront import errors
from cicadafront.agent import observer
from tests.health import fleet

STALLED = None


class EjectionTest(unittest.TestCase):
    """Guards against gray targets that stay in service, or healthy ones out."""

    def run_fleet(self, seed, gray, floor=0.5, count=6):
        world = fleet.Fleet(seed, floor).build(count)
        rng = world.rng
        world.load(15, lambda node: rng.uniform(0.01, 0.03))
        self.assertEqual(world.ejected(), [])
        bad = {f"i{number}" for number in gray}

        def latency(node):
            return STALLED if node.id in bad else rng.uniform(0.01, 0.03)

        world.load(3, latency)
        return world

    @parameterized.expand([(seed,) for seed in range(1, 6)])
    def test_stalled_target_is_ejected_within_three_seconds(self, seed):
        world = self.run_fleet(seed, [2])
        self.assertEqual(world.ejected(), ["i2"])
        self.assertEqual(world.nodes[2].abandoned, ["t-i2"])

    @parameterized.expand(
        [("three may go", 0.5, 3), ("one may go", 0.8, 1), ("none", 0.9, 0)]
    )
    def test_floor_holds_with_four_gray_targets(self, _name, floor, most):
        world = self.run_fleet(1, [1, 2, 3, 4], floor)
        self.assertLessEqual(len(world.ejected()), most)

    def test_gray_target_without_permit_gets_a_low_weight(self):
        world = self.run_fleet(1, [3], floor=0.9)
        self.assertEqual(world.nodes[3].state, (False, 0.05))

    def test_even_slowdown_ejects_nobody(self):
        world = fleet.Fleet(1).build(6)
        rng = world.rng
        world.load(15, lambda node: rng.uniform(0.01, 0.03))
        world.load(5, lambda node: rng.uniform(0.1, 0.3))
        self.assertEqual(world.ejected(), [])

    def test_target_returns_after_probes(self):
        world = self.run_fleet(1, [2])
        world.load(12, lambda node: 0.02)
        self.assertEqual(world.ejected(), [])
        self.assertLess(world.nodes[2].state[1], 1.0)
        world.load(12, lambda node: 0.02)
        self.assertEqual(world.nodes[2].state, (False, 1.0))

    def test_target_that_fails_probes_stays_out(self):
        world = self.run_fleet(1, [2])
        world.nodes[2].probes = False
        world.load(12, lambda node: 0.02)
        self.assertEqual(world.ejected(), ["i2"])

    def test_owner_out_of_reach_brings_the_target_back(self):
        world = self.run_fleet(1, [2])
        world.world.blocked = {("i2", "i0"), ("i0", "i2")}
        world.nodes[2].probes = False
        world.load(6, lambda node: 0.02)
        self.assertEqual(world.ejected(), [])


class CrashTest(unittest.TestCase):
    """Guards against a request that crashes one target after the other."""

    def crash(self, node, *bodies):
        tokens = [node.work(STALLED, body=body) for body in bodies]
        node.dead = True
        for token in tokens:
            node.finish(token, observer.Failed("closed"))
        node.dead = False
        node.fleet.world.advance(0.2)

    def lone(self, node, body):
        fingerprint = node.open_request(body).fingerprint
        return node.crashes.lone_target("amani", fingerprint, fleet.SERVICE)

    def test_second_crash_is_refused_everywhere(self):
        world = fleet.Fleet(1).build(3)
        self.crash(world.nodes[0], "bad")
        targets = {self.lone(node, "bad") for node in world.nodes}
        self.assertEqual(len(targets), 1)
        self.assertNotEqual(targets, {None})
        self.crash(world.nodes[1], "bad")
        for node in world.nodes:
            with self.assertRaises(errors.RequestCrashesTargetsError):
                self.lone(node, "bad")

    def test_neighbour_of_a_crash_is_cleared_by_a_run_alone(self):
        world = fleet.Fleet(1).build(3)
        self.crash(world.nodes[0], "bad", "good")
        self.assertIsNotNone(self.lone(world.nodes[1], "good"))
        world.nodes[1].work(0.02, body="good")
        world.world.advance(0.3)
        for node in world.nodes:
            self.assertIsNone(self.lone(node, "good"))
            self.assertIsNotNone(self.lone(node, "bad"))

    def test_closed_connection_of_a_living_target_is_no_crash(self):
        world = fleet.Fleet(1).build(2)
        node = world.nodes[0]
        node.finish(node.work(STALLED), observer.Failed("closed"))
        world.world.advance(0.2)
        self.assertIsNone(self.lone(node, "x"))
