"""Tests of ejection and of crash suspects across instances."""

import unittest

from parameterized import parameterized

from cicadafront import errors
from cicadafront.agent import observer
from tests.health import fleet

STALLED = None


class EjectionTest(unittest.TestCase):
    """Guards against gray targets in service and against wrong ejections.

    A wrong ejection affects a healthy target, takes the service below its
    capacity floor or continues after its permit has expired.
    """

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
        [("up to three", 0.5, 3), ("up to one", 0.8, 1), ("none", 0.9, 0)]
    )
    def test_floor_holds_with_four_gray_targets(self, _name, floor, most):
        world = self.run_fleet(1, [1, 2, 3, 4], floor)
        self.assertLessEqual(len(world.ejected()), most)

    def test_gray_target_without_permit_gets_a_low_weight(self):
        world = self.run_fleet(1, [3], floor=0.9)
        self.assertEqual(world.nodes[3].state, (False, 0.05))

    def test_slowdown_of_whole_service_ejects_none(self):
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

    def test_target_that_fails_probes_stays_ejected(self):
        world = self.run_fleet(1, [2])
        world.nodes[2].probes = False
        world.load(12, lambda node: 0.02)
        self.assertEqual(world.ejected(), ["i2"])

    def test_target_returns_if_owner_is_unreachable(self):
        world = self.run_fleet(1, [2])
        world.world.blocked = {("i2", "i0"), ("i0", "i2")}
        world.nodes[2].probes = False
        world.load(6, lambda node: 0.02)
        self.assertEqual(world.ejected(), [])


class CrashTest(unittest.TestCase):
    """Guards against a request that crashes one target after another.

    A client retries the request at other instances, which must know it as a
    suspect by then.
    """

    def crash(self, node, *bodies):
        tokens = [node.work(STALLED, body=body) for body in bodies]
        node.dead = True
        for token in tokens:
            node.finish(token, observer.Failed("closed"))
        node.dead = False
        node.fleet.world.advance(0.2)

    def assigned_target(self, node, body):
        fingerprint = node.open_request(body).fingerprint
        return node.crashes.isolated_target("amani", fingerprint, fleet.SERVICE)

    def test_request_is_refused_everywhere_after_second_crash(self):
        world = fleet.Fleet(1).build(3)
        self.crash(world.nodes[0], "bad")
        targets = {self.assigned_target(node, "bad") for node in world.nodes}
        self.assertEqual(len(targets), 1)
        self.assertNotEqual(targets, {None})
        self.crash(world.nodes[1], "bad")
        for node in world.nodes:
            with self.assertRaises(errors.RequestCrashesTargetsError):
                self.assigned_target(node, "bad")

    def test_concurrent_request_is_cleared_by_running_alone(self):
        world = fleet.Fleet(1).build(3)
        self.crash(world.nodes[0], "bad", "good")
        self.assertIsNotNone(self.assigned_target(world.nodes[1], "good"))
        world.nodes[1].work(0.02, body="good")
        world.world.advance(0.3)
        for node in world.nodes:
            self.assertIsNone(self.assigned_target(node, "good"))
            self.assertIsNotNone(self.assigned_target(node, "bad"))

    def test_closed_connection_of_running_target_is_no_crash(self):
        world = fleet.Fleet(1).build(2)
        node = world.nodes[0]
        node.finish(node.work(STALLED), observer.Failed("closed"))
        world.world.advance(0.2)
        self.assertIsNone(self.assigned_target(node, "x"))
