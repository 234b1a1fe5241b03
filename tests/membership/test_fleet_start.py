"""Tests of how a fleet that starts at once finds itself, at several sizes."""

import unittest

from parameterized import parameterized

from cicadafront.sidecar import assembly
from tests.membership import starts

# Time from the start of the last process until each instance can route to each
# service, at any size.
ROUTED_SECONDS = 4.0
# A process that starts late, or after a failure of the store, has a second more
# to list the other instances.
SEARCH_SECONDS = 1.0
TARGET_SECONDS = 1.5

FAULTS = {
    "late_third": {"late_share": 0.33, "late_by": 1.0},
    "slow_store": {"store_delay": 0.2},
    "store_away": {"store_away": 1.5},
    "store_refuses": {"refused_share": 0.5},
    "loss": {"loss": 0.05},
    "half_killed": {"killed_share": 0.5, "killed_at": 1.0},
}
DELAYS = {"late_third": 1.0, "store_away": 1.5, "half_killed": 1.0}


def fleet(size, seed, **options):
    """Returns a fleet that starts with the parameters of a sidecar."""
    return starts.StartingFleet(
        starts.Start(size, seed, target_at=(0.0, TARGET_SECONDS), **options),
        assembly.GOSSIP_PARAMETERS,
    )


class FleetStartTest(unittest.TestCase):
    """Guards against instances that know no target when callers come.

    All instances start within 0.3 s, so that they find nobody in the store, and
    all targets announce themselves at about the same time.
    """

    @parameterized.expand(
        [
            (f"{size}_{name}", size, listed)
            for size in (30, 100, 300)
            for name, listed in (("first", False), ("again", True))
            if size < 300 or not listed
        ]
    )
    def test_every_instance_routes_to_every_service(self, _name, size, listed):
        started = fleet(size, 1, listed=listed)
        started.run(ROUTED_SECONDS)
        unable = [
            id
            for id, node in started.net.nodes.items()
            if not started.route(node)
        ]
        self.assertEqual(unable, [])
        # Each service has so many targets that a part of them does not suffice
        # for the load; the rest is known soon after.
        started.run(ROUTED_SECONDS + SEARCH_SECONDS)
        self.assertEqual(started.worst_share(), 1.0)

    @parameterized.expand(
        [
            (f"{size}_{name}", size, name)
            for size in (30, 100)
            for name in FAULTS
        ]
    )
    def test_faults_during_the_start(self, _name, size, fault):
        started = fleet(size, 2, **FAULTS[fault])
        started.run(ROUTED_SECONDS + SEARCH_SECONDS + DELAYS.get(fault, 0.0))
        unable = [
            id
            for id, node in started.net.nodes.items()
            if not started.route(node)
        ]
        self.assertEqual(unable, [])

    def test_cost_of_a_start_grows_with_the_records_only(self):
        cost = {}
        for size in (30, 120):
            started = fleet(size, 3)
            started.run(ROUTED_SECONDS)
            cost[size] = started.sent_bytes() / size
        self.assertLess(cost[120], 1.5 * cost[30])


if __name__ == "__main__":
    unittest.main()
