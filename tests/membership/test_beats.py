"""Tests of the registry of the target beside an instance."""

import unittest

import attrs
from parameterized import parameterized

from cicadafront import model
from cicadafront.membership import beats, remembered

ADDRESS = ("10.0.0.9", 8080)
LEAVING = model.TargetState.LEAVING
FIRST = beats.Heartbeat(
    "t1", "reads", ADDRESS, 3, model.TargetState.SERVING, 5, 100
)


class Announcer:
    """Keeps what was announced."""

    def __init__(self):
        self.records = []
        self.withdrawn = []

    def announce_target(self, now, record):
        self.records.append(record)

    def withdraw_target(self, now, id):
        self.withdrawn.append(id)


class BeatTest(unittest.TestCase):
    """Guards against heartbeats that are late, doubled or of others."""

    def setUp(self):
        self.announcer = Announcer()
        self.left = []
        self.gone = []
        self.registry = beats.HeartbeatRegistry(
            self.announcer,
            "n1",
            "dc",
            ADDRESS,
            self.left.append,
            self.gone.append,
        )
        self.registry.heartbeat(0.0, FIRST)

    def state(self, id="t1"):
        """Returns the state of a target, or None if it is unknown."""
        found = self.registry.local(id)
        return found.target.state if found else None

    def test_target_is_announced(self):
        record = self.announcer.records[-1]
        self.assertEqual((record.id, record.service), ("t1", "reads"))
        self.assertIs(self.state(), model.TargetState.SERVING)

    @parameterized.expand(
        [
            ("late", {"number": 4}),
            ("repeated", {"number": 5}),
            ("older_incarnation", {"number": 9, "incarnation": 99}),
            ("other_address", {"number": 9, "address": ("10.0.0.8", 8080)}),
            (
                "late_of_the_previous_target",
                {"target": "t0", "incarnation": 50, "number": 99},
            ),
        ]
    )
    def test_ignored(self, _name, changes):
        heartbeat = attrs.evolve(FIRST, state=LEAVING, **changes)
        self.registry.heartbeat(1.0, heartbeat)
        self.assertIs(self.state(), model.TargetState.SERVING)
        self.assertEqual(self.left, [])

    def test_leaving_is_final(self):
        self.registry.heartbeat(
            1.0, attrs.evolve(FIRST, state=LEAVING, number=6)
        )
        self.registry.heartbeat(2.0, attrs.evolve(FIRST, number=7))
        self.assertIs(self.state(), LEAVING)
        self.assertEqual(self.left, ["t1"])
        self.assertIs(self.announcer.records[-1].state, LEAVING)

    def test_goodbye_without_leaving_first(self):
        self.registry.leaving(1.0, "t1")
        self.registry.heartbeat(2.0, attrs.evolve(FIRST, number=8))
        self.assertIs(self.state(), LEAVING)

    def test_late_goodbye_of_an_earlier_incarnation(self):
        self.registry.leaving(1.0, "t1", 99)
        self.assertIs(self.state(), model.TargetState.SERVING)

    def test_new_incarnation_under_the_same_id(self):
        self.registry.leaving(1.0, "t1")
        self.registry.heartbeat(
            2.0, attrs.evolve(FIRST, incarnation=101, number=1)
        )
        self.assertIs(self.state(), model.TargetState.SERVING)
        self.assertEqual(self.gone, ["t1"])

    def test_next_target_at_the_address(self):
        heartbeat = attrs.evolve(FIRST, target="t2", incarnation=200, number=1)
        self.registry.heartbeat(2.0, heartbeat)
        self.assertIsNone(self.state())
        self.assertIs(self.state("t2"), model.TargetState.SERVING)
        self.assertEqual(self.announcer.withdrawn, ["t1"])

    def test_other_target_answers(self):
        self.registry.replaced(1.0, "t1")
        self.registry.heartbeat(2.0, attrs.evolve(FIRST, number=8))
        self.assertIsNone(self.state())

    def test_silence(self):
        self.registry.expire(beats.HEARTBEAT_TIMEOUT_SECONDS)
        self.assertIsNotNone(self.state())
        self.registry.expire(beats.HEARTBEAT_TIMEOUT_SECONDS + 1)
        self.assertIsNone(self.state())


class RememberedTest(unittest.TestCase):
    """Guards against targets that wait for a heartbeat after a restart."""

    def setUp(self):
        self.announcer = Announcer()
        self.gone = []
        self.changes = 0
        self.registry = beats.HeartbeatRegistry(
            self.announcer,
            "n1",
            "dc",
            ADDRESS,
            on_gone=self.gone.append,
            on_change=self.changed,
        )

    def changed(self):
        self.changes += 1

    def restore(self, heartbeat=FIRST):
        """Remembers a target as after a restart."""
        stored = remembered.restore(remembered.keep(heartbeat))
        self.registry.restore(0.0, stored)

    def serves(self):
        """Returns whether the target gets work."""
        found = self.registry.local("t1")
        return found is not None and found.target.state is not LEAVING

    def test_remembered_target_serves(self):
        self.restore()
        self.assertTrue(self.serves())
        self.assertEqual(self.announcer.records[-1].slots, 3)

    def test_heartbeat_confirms_it(self):
        self.restore()
        self.registry.heartbeat(1.0, FIRST)
        self.registry.expire(beats.RESTORED_TIMEOUT_SECONDS)
        self.assertTrue(self.serves())
        self.assertEqual((self.gone, self.announcer.withdrawn), ([], []))

    def test_silent_target_is_forgotten_and_may_return(self):
        self.restore()
        self.registry.expire(beats.RESTORED_TIMEOUT_SECONDS)
        self.assertFalse(self.serves())
        self.registry.heartbeat(2.0, FIRST)
        self.assertTrue(self.serves())

    @parameterized.expand(
        [
            ("other_address", {"address": ("10.0.0.8", 8080)}),
            ("ended", {}),
        ]
    )
    def test_not_remembered(self, name, changes):
        if name == "ended":
            self.registry.leaving(0.0, "t1", FIRST.incarnation)
        self.restore(attrs.evolve(FIRST, **changes))
        self.assertFalse(self.serves())

    def test_heartbeat_goes_before_memory(self):
        self.registry.heartbeat(0.0, attrs.evolve(FIRST, target="t2"))
        self.restore()
        self.assertFalse(self.serves())

    def test_target_that_leaves_is_not_kept(self):
        self.registry.heartbeat(0.0, FIRST)
        self.assertIs(self.registry.serving_heartbeat(), FIRST)
        self.registry.leaving(1.0, "t1")
        self.assertIsNone(self.registry.serving_heartbeat())
        self.assertEqual(self.changes, 2)

    @parameterized.expand(
        [
            ("nothing", {}),
            ("incomplete", {"id": "t1"}),
            ("odd_type", {**remembered.keep(FIRST), "slots": "many"}),
        ]
    )
    def test_damaged_memory(self, _name, stored):
        self.assertIsNone(remembered.restore(stored))
