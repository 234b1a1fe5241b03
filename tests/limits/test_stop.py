"""Planned stops of all instances at the same time, and their restart.

`test_faults` runs the scenarios of `stops` with and without mutations.
"""

import unittest
from unittest import mock

from parameterized import parameterized

from cicadafront.emulator import fleet as fleets
from cicadafront.limits import claims, shards
from tests.limits import checks
from tests.limits.fixtures import ACCOUNT, FleetFixture
from tests.limits.stops import (
    HAND_OVER_SECONDS,
    SEEDS,
    begin_again,
    restart_all,
    stop_all,
    stored_claim,
)


class StopTest(unittest.TestCase):
    """Guards against stops that do not finish and unsafe or lost releases.

    An owner releases a shard if no candidate takes it over. The release is
    unsafe if begun requests are in memory only, and it can be lost in a crash
    or while the store is unreachable.
    """

    def setUp(self):
        self.enterContext(mock.patch.object(shards, "SHARDS", 1))

    def test_crash_before_the_release_is_unclean(self):
        for seed in range(SEEDS):
            fixture = FleetFixture(seed)
            fixture.watched.begin(fixture.others[0], "amani", "k")
            fixture.watched.advance(1)
            stop_all(fixture.fleet)
            fixture.cut_from_store(*fixture.fleet.nodes.values())
            fixture.watched.advance(HAND_OVER_SECONDS)
            self.assertFalse(stored_claim(fixture).stopped)
            restart_all(fixture)
            fixture.fleet.heal()
            fixture.watched.advance(12)
            begin_again(fixture)
            self.assertEqual(
                sorted(fixture.watched.errors),
                [("k", "outcome_unknown"), ("new", "outcome_unknown")],
            )

    def test_stop_in_an_outage_is_not_clean(self):
        """Begun requests that are in memory only must not be lost."""
        for seed in range(SEEDS):
            fixture = FleetFixture(seed)
            fixture.begin_in_memory()
            stopped = stop_all(fixture.fleet)
            fixture.watched.advance(HAND_OVER_SECONDS)
            self.assertNotIn(fixture.owner.process.info.id, stopped)
            self.assertFalse(stored_claim(fixture).stopped)
            restart_all(fixture)
            fixture.fleet.heal()
            fixture.watched.advance(12)
            begin_again(fixture)
            self.assertIn(("k", "outcome_unknown"), fixture.watched.errors)

    def test_next_candidate_takes_over(self):
        """Outcomes must not be lost if a candidate refuses a handover."""
        for seed in range(SEEDS):
            fixture = FleetFixture(seed)
            fixture.watched.begin(fixture.others[0], "amani", "k")
            fixture.watched.advance(1)
            fixture.watched.end(fixture.watched.runs[0], "finish")
            fixture.watched.advance(1)
            owner = fixture.owner.process.info.id
            ranked = shards.ranked(
                0, [node.process.info for node in fixture.fleet.nodes.values()]
            )
            first = next(info.id for info in ranked if info.id != owner)
            fixture.cut_from_store(fixture.fleet.nodes[first])
            fixture.watched.advance(3)
            fixture.owner.process.run(fixture.owner.limits.stop)
            fixture.watched.advance(2)
            self.assertNotIn(fixture.fleet.acting(0), ([], [owner], [first]))
            fixture.watched.begin(fixture.others[0], "amani", "k")
            fixture.watched.advance(2)
            self.assertEqual(fixture.watched.replays, 1)

    def test_single_instance_releases(self):
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

    def test_no_process_acts_after_the_handover_timeout(self):
        """The owner must not act once its listener is closed.

        To the deputy, a refused connection proves that the owner has ended.
        """
        for seed in range(SEEDS):
            fixture = FleetFixture(seed)
            fixture.cut_from_store(*fixture.fleet.nodes.values())
            fixture.watched.advance(3)
            process = fixture.owner.process
            stopped, ended = fixture.owner.limits.stop(), []
            stopped.addTimeout(HAND_OVER_SECONDS, process)
            stopped.addErrback(ended.append)
            fixture.watched.advance(HAND_OVER_SECONDS - 1)
            self.assertTrue(fixture.owner.acts(0))
            fixture.watched.advance(2)
            self.assertEqual(len(ended), 1)
            self.assertFalse(fixture.owner.acts(0))
            fixture.fleet.heal()
            fixture.watched.advance(4)
            self.assertFalse(fixture.owner.acts(0))


class AllShardsTest(unittest.TestCase):
    """Guards against releases of 256 shards that exceed the stop timeout.

    Each release needs a write to the store.
    """

    @parameterized.expand([(1,), (3,)])
    def test_stop_finishes_within_the_timeout(self, instances):
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
