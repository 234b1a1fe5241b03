"""Planned stops of all instances at once, and their restart.

`test_faults` runs the faults of `stops` with and without their plants.
"""

import unittest
from unittest import mock

from parameterized import parameterized

from cicadafront.emulator import fleet as fleets
from cicadafront.limits import claims, shards
from tests.limits import checks
from tests.limits.scenes import ACCOUNT, Scene
from tests.limits.stops import (
    HAND_OVER_SECONDS,
    SEEDS,
    begin_again,
    claim_of,
    restart_all,
    stop_all,
)


class StopTest(unittest.TestCase):
    """Guards against stops that never end and unsafe or lost releases."""

    def setUp(self):
        self.enterContext(mock.patch.object(shards, "SHARDS", 1))

    def test_crash_before_the_release_is_unclean(self):
        for seed in range(SEEDS):
            scene = Scene(seed)
            scene.watched.begin(scene.others[0], "amani", "k")
            scene.watched.advance(1)
            stop_all(scene.fleet)
            scene.cut_from_store(*scene.fleet.nodes.values())
            scene.watched.advance(HAND_OVER_SECONDS)
            self.assertFalse(claim_of(scene).stopped)
            restart_all(scene)
            scene.fleet.heal()
            scene.watched.advance(12)
            begin_again(scene)
            self.assertEqual(
                sorted(scene.watched.errors),
                [("k", "outcome_unknown"), ("new", "outcome_unknown")],
            )

    def test_stop_in_an_outage_is_not_clean(self):
        """Begins that only memory holds must not be forgotten."""
        for seed in range(SEEDS):
            scene = Scene(seed)
            scene.begin_in_memory()
            stopped = stop_all(scene.fleet)
            scene.watched.advance(HAND_OVER_SECONDS)
            self.assertNotIn(scene.owner.process.info.id, stopped)
            self.assertFalse(claim_of(scene).stopped)
            restart_all(scene)
            scene.fleet.heal()
            scene.watched.advance(12)
            begin_again(scene)
            self.assertIn(("k", "outcome_unknown"), scene.watched.errors)

    def test_next_candidate_takes_over(self):
        """A candidate that refuses must not cost the kept answers."""
        for seed in range(SEEDS):
            scene = Scene(seed)
            scene.watched.begin(scene.others[0], "amani", "k")
            scene.watched.advance(1)
            scene.watched.end(scene.watched.runs[0], "finish")
            scene.watched.advance(1)
            owner = scene.owner.process.info.id
            ranked = shards.ranked(
                0, [node.process.info for node in scene.fleet.nodes.values()]
            )
            first = next(info.id for info in ranked if info.id != owner)
            scene.cut_from_store(scene.fleet.nodes[first])
            scene.watched.advance(3)
            scene.owner.process.run(scene.owner.limits.stop)
            scene.watched.advance(2)
            self.assertNotIn(scene.fleet.acting(0), ([], [owner], [first]))
            scene.watched.begin(scene.others[0], "amani", "k")
            scene.watched.advance(2)
            self.assertEqual(scene.watched.replays, 1)

    def test_lone_instance_releases(self):
        fleet = fleets.Fleet(1, 1, 1, 0.0, (ACCOUNT,))
        watched = checks.Watched(fleet)
        watched.advance(6)
        watched.begin(fleet.nodes["i0"], "amani", "k")
        watched.advance(1)
        stopped = stop_all(fleet)
        watched.advance(HAND_OVER_SECONDS)
        self.assertEqual(stopped, ["i0"])
        fleet.restart("i0")
        watched.advance(4)
        watched.begin(fleet.nodes["i0"], "amani", "k")
        watched.begin(fleet.nodes["i0"], "amani", "new")
        watched.advance(3)
        self.assertEqual(watched.errors, [("k", "outcome_unknown")])
        self.assertEqual(len(watched.runs), 2)

    def test_nobody_acts_after_the_wait_for_hand_overs(self):
        """A closed listener proves to the deputy that the owner has ended."""
        for seed in range(SEEDS):
            scene = Scene(seed)
            scene.cut_from_store(*scene.fleet.nodes.values())
            scene.watched.advance(3)
            process = scene.owner.process
            stopped, ended = scene.owner.limits.stop(), []
            stopped.addTimeout(HAND_OVER_SECONDS, process)
            stopped.addErrback(ended.append)
            scene.watched.advance(HAND_OVER_SECONDS - 1)
            self.assertTrue(scene.owner.acts(0))
            scene.watched.advance(2)
            self.assertEqual(len(ended), 1)
            self.assertFalse(scene.owner.acts(0))
            scene.fleet.heal()
            scene.watched.advance(4)
            self.assertFalse(scene.owner.acts(0))


class AllShardsTest(unittest.TestCase):
    """Guards against releases of 256 shards that outlast the daemon's wait."""

    @parameterized.expand([(1,), (3,)])
    def test_stop_fits_the_wait(self, instances):
        fleet = fleets.Fleet(1, instances, 3, 0.0, (ACCOUNT,))
        fleet.advance(15)
        stopped = stop_all(fleet)
        fleet.advance(HAND_OVER_SECONDS)
        self.assertEqual(sorted(stopped), sorted(fleet.nodes))
        values = [
            fleet.store.items[claims.owner_key(number)].value
            for number in range(shards.SHARDS)
        ]
        for value in values:
            self.assertTrue(claims.decode(value).stopped)


if __name__ == "__main__":
    unittest.main()
