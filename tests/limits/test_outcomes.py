"""Tests of idempotency records over a small fleet."""

import unittest
from unittest import mock

from parameterized import parameterized

from cicadafront.limits import shards
from tests.limits.test_faults import FleetFixture


class OutcomeTest(unittest.TestCase):
    """Guards against a key that runs twice, or by nobody for ever."""

    def setUp(self):
        patch = mock.patch.object(shards, "SHARDS", 1)
        patch.start()
        self.addCleanup(patch.stop)
        self.scene = FleetFixture(21)
        self.watched = self.scene.watched
        self.first, self.second = self.scene.others[:2]

    def _ids(self, *nodes):
        return {node.process.info.id for node in nodes}

    def _begin(self, node, seconds=2.0):
        self.watched.begin(node, "amani", "k")
        self.watched.advance(seconds)

    def test_lost_answer_gives_the_ticket_again(self):
        fleet = self.scene.fleet
        owner, caller = self._ids(self.scene.owner), self._ids(self.first)
        fleet.split(owner, caller)
        self._begin(self.first, 1.0)
        self.assertEqual(self.watched.runs, [])
        fleet.heal()
        self.watched.advance(3)
        self.assertEqual(len(self.watched.runs), 1)
        self.assertEqual(self.watched.runs[0].ticket.serial, 1)

    def test_withdrawn_begin_leaves_the_key_free(self):
        """An entry that gave up must not block its caller's next try."""
        fleet = self.scene.fleet
        owner, caller = self._ids(self.scene.owner), self._ids(self.first)
        fleet.split(owner, caller)
        self._begin(self.first, 8.0)
        errors = [("k", "record_owner_unavailable")]
        self.assertEqual(self.watched.errors, errors)
        self._begin(self.second)
        self.assertEqual(len(self.watched.runs), 1)

    def test_entry_that_dies_leaves_the_key_uncertain(self):
        self._begin(self.first)
        self.first.process.crash()
        self.watched.advance(60)
        self._begin(self.second)
        self.assertEqual(self.watched.errors, [("k", "outcome_unknown")])

    @parameterized.expand(
        [
            ("finished", "finish", 1, 0, []),
            ("released", "release", 0, 1, []),
            ("abandoned", "abandon", 0, 0, [("k", "outcome_unknown")]),
        ]
    )
    def test_run_ends_after_a_hand_over(
        self, _name, how, replays, runs, errors
    ):
        """The ticket of the former owner must still be honoured."""
        self._begin(self.first)
        self.scene.owner.limits.stop()
        self.watched.advance(3)
        self.assertFalse(self.scene.owner.acts(0))
        self._begin(self.second)
        self.watched.end(self.watched.runs[0], how)
        self.watched.advance(2)
        self.assertEqual(self.watched.replays, replays)
        self.assertEqual(len(self.watched.runs), runs)
        self.assertEqual(self.watched.errors, errors)

    def test_outcome_reaches_the_successor_of_a_lost_owner(self):
        self._begin(self.first)
        self.scene.owner.process.crash()
        self.watched.advance(8)
        self.watched.end(self.watched.runs[0], "finish")
        self.watched.advance(2)
        self._begin(self.second)
        self.assertEqual(self.watched.replays, 1)

    def test_store_away_delays_begins_only(self):
        """Guards against refusals while the deputy confirms the owner."""
        self.scene.fleet.store.up = False
        self._begin(self.first, 5.0)
        self.assertEqual(self.watched.errors, [])
        self.assertEqual(len(self.watched.runs), 1)


if __name__ == "__main__":
    unittest.main()
