"""Tests of idempotency records over a small fleet."""

import unittest
from unittest import mock

from parameterized import parameterized

from cicadafront.limits import shards
from tests.limits.test_faults import FleetFixture


class OutcomeTest(unittest.TestCase):
    """Guards against a key that runs twice, or that can never run.

    Both can happen when answers are lost, when a begin is withdrawn, and when
    the owner of the records or the instance that runs the request is lost.
    """

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

    def test_lost_answer_returns_the_same_ticket(self):
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
        """A begin that timed out must not block the caller's next attempt."""
        fleet = self.scene.fleet
        owner, caller = self._ids(self.scene.owner), self._ids(self.first)
        fleet.split(owner, caller)
        self._begin(self.first, 8.0)
        errors = [("k", "record_owner_unavailable")]
        self.assertEqual(self.watched.errors, errors)
        self._begin(self.second)
        self.assertEqual(len(self.watched.runs), 1)

    def test_crash_of_the_ticket_holder_makes_the_outcome_unknown(self):
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
    def test_request_ends_after_a_handover(
        self, _name, how, replays, runs, errors
    ):
        """The new owner must accept a ticket that the former owner issued."""
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

    def test_unavailable_store_only_delays_begins(self):
        """Guards against refusals while the deputy confirms the owner."""
        self.scene.fleet.store.up = False
        self._begin(self.first, 5.0)
        self.assertEqual(self.watched.errors, [])
        self.assertEqual(len(self.watched.runs), 1)


if __name__ == "__main__":
    unittest.main()
