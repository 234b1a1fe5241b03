"""Tests of the heartbeat registry of the local target."""

import unittest

import attrs
from parameterized import parameterized

from cicadafront import model
from cicadafront.membership import heartbeat_registry, stored_target

ADDRESS = ("10.0.0.9", 8080)
LEAVING = model.TargetState.LEAVING
FIRST = heartbeat_registry.Heartbeat(
    "t1", "reads", ADDRESS, 3, model.TargetState.SERVING, 5, 100
)


class Announcer:
    """Fake gossip core that records announcements and withdrawals."""

    def __init__(self):
        self.records = []
        self.withdrawn = []

    def announce_target(self, now, record):
        self.records.append(record)

    def withdraw_target(self, now, id):
        self.withdrawn.append(id)


class HeartbeatTest(unittest.TestCase):
    """Guards against stale heartbeats that change the registered target.

    Heartbeats may be delayed or duplicated, or come from an earlier
    incarnation or from another machine.
    """

    def setUp(self):
        self.announcer = Announcer()
        self.leaving = []
        self.gone = []
        self.registry = heartbeat_registry.HeartbeatRegistry(
            self.announcer,
            "n1",
            "dc",
            ADDRESS,
            "reads",
            self.leaving.append,
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
            ("other_service", {"number": 9, "service": "none"}),
            (
                "later_incarnation_of_another_service",
                {"target": "t2", "incarnation": 200, "service": "none"},
            ),
            (
                "late_of_the_previous_target",
                {"target": "t0", "incarnation": 50, "number": 99},
            ),
        ]
    )
    def test_stale_heartbeat_is_ignored(self, _name, changes):
        heartbeat = attrs.evolve(FIRST, state=LEAVING, **changes)
        self.registry.heartbeat(1.0, heartbeat)
        self.assertIs(self.state(), model.TargetState.SERVING)
        self.assertEqual(self.leaving, [])

    def test_target_of_another_service_is_not_registered(self):
        # Guards against requests that bear a service which the machine of the
        # instance does not run.
        other = attrs.evolve(
            FIRST, target="t2", incarnation=200, service="none"
        )
        self.registry.heartbeat(1.0, other)
        self.registry.heartbeat(2.0, attrs.evolve(FIRST, number=6))
        self.assertIsNone(self.state("t2"))
        self.assertEqual(self.announcer.withdrawn, [])
        self.assertEqual(self.registry.counts["service of another machine"], 1)

    def test_target_keeps_reporting_after_the_settings_name_another(self):
        self.registry.service = "pays"
        self.registry.heartbeat(
            1.0, attrs.evolve(FIRST, state=LEAVING, number=6)
        )
        self.assertIs(self.state(), LEAVING)

    def test_leaving_is_final(self):
        self.registry.heartbeat(
            1.0, attrs.evolve(FIRST, state=LEAVING, number=6)
        )
        self.registry.heartbeat(2.0, attrs.evolve(FIRST, number=7))
        self.assertIs(self.state(), LEAVING)
        self.assertEqual(self.leaving, ["t1"])
        self.assertIs(self.announcer.records[-1].state, LEAVING)

    def test_deregistration_without_a_leaving_heartbeat(self):
        self.registry.leaving(1.0, "t1")
        self.registry.heartbeat(2.0, attrs.evolve(FIRST, number=8))
        self.assertIs(self.state(), LEAVING)

    def test_deregistration_of_an_earlier_incarnation_is_ignored(self):
        self.registry.leaving(1.0, "t1", 99)
        self.assertIs(self.state(), model.TargetState.SERVING)

    def test_new_incarnation_under_the_same_id(self):
        self.registry.leaving(1.0, "t1")
        self.registry.heartbeat(
            2.0, attrs.evolve(FIRST, incarnation=101, number=1)
        )
        self.assertIs(self.state(), model.TargetState.SERVING)
        self.assertEqual(self.gone, ["t1"])

    def test_new_target_at_the_address_replaces_the_old_one(self):
        heartbeat = attrs.evolve(FIRST, target="t2", incarnation=200, number=1)
        self.registry.heartbeat(2.0, heartbeat)
        self.assertIsNone(self.state())
        self.assertIs(self.state("t2"), model.TargetState.SERVING)
        self.assertEqual(self.announcer.withdrawn, ["t1"])

    def test_replaced_target_is_removed(self):
        self.registry.replaced(1.0, "t1")
        self.registry.heartbeat(2.0, attrs.evolve(FIRST, number=8))
        self.assertIsNone(self.state())

    def test_target_without_heartbeats_is_removed(self):
        self.registry.expire(heartbeat_registry.HEARTBEAT_TIMEOUT_SECONDS)
        self.assertIsNotNone(self.state())
        self.registry.expire(heartbeat_registry.HEARTBEAT_TIMEOUT_SECONDS + 1)
        self.assertIsNone(self.state())


class RestoredTest(unittest.TestCase):
    """Guards against a restart that leaves a target without requests.

    The restarted process must restore the target from its entry in the store
    and not wait for its next heartbeat.
    """

    def setUp(self):
        self.announcer = Announcer()
        self.gone = []
        self.changes = 0
        self.registry = heartbeat_registry.HeartbeatRegistry(
            self.announcer,
            "n1",
            "dc",
            ADDRESS,
            "reads",
            on_gone=self.gone.append,
            on_change=self.changed,
        )

    def changed(self):
        self.changes += 1

    def restore(self, heartbeat=FIRST):
        """Restores a target from its stored form, as after a restart."""
        stored = stored_target.restore(stored_target.keep(heartbeat))
        self.registry.restore(0.0, stored)

    def serves(self):
        """Returns whether the target takes requests."""
        found = self.registry.local("t1")
        return found is not None and found.target.state is not LEAVING

    def test_restored_target_serves(self):
        self.restore()
        self.assertTrue(self.serves())
        self.assertEqual(self.announcer.records[-1].slots, 3)

    def test_heartbeat_confirms_a_restored_target(self):
        self.restore()
        self.registry.heartbeat(1.0, FIRST)
        self.registry.expire(heartbeat_registry.RESTORED_TIMEOUT_SECONDS)
        self.assertTrue(self.serves())
        self.assertEqual((self.gone, self.announcer.withdrawn), ([], []))

    def test_unconfirmed_target_is_removed_and_may_return(self):
        self.restore()
        self.registry.expire(heartbeat_registry.RESTORED_TIMEOUT_SECONDS)
        self.assertFalse(self.serves())
        self.registry.heartbeat(2.0, FIRST)
        self.assertTrue(self.serves())

    @parameterized.expand(
        [
            ("other_address", {"address": ("10.0.0.8", 8080)}),
            ("other_service", {"service": "none"}),
            ("ended", {}),
        ]
    )
    def test_unusable_target_is_not_restored(self, name, changes):
        if name == "ended":
            self.registry.leaving(0.0, "t1", FIRST.incarnation)
        self.restore(attrs.evolve(FIRST, **changes))
        self.assertFalse(self.serves())

    def test_registered_target_is_not_replaced_by_a_restored_one(self):
        self.registry.heartbeat(0.0, attrs.evolve(FIRST, target="t2"))
        self.restore()
        self.assertFalse(self.serves())

    def test_leaving_target_is_not_stored(self):
        self.registry.heartbeat(0.0, FIRST)
        self.assertIs(self.registry.serving_heartbeat(), FIRST)
        self.registry.leaving(1.0, "t1")
        self.assertIsNone(self.registry.serving_heartbeat())
        self.assertEqual(self.changes, 2)

    @parameterized.expand(
        [
            ("nothing", {}),
            ("incomplete", {"id": "t1"}),
            ("wrong_type", {**stored_target.keep(FIRST), "slots": "many"}),
        ]
    )
    def test_damaged_entry_restores_nothing(self, _name, stored):
        self.assertIsNone(stored_target.restore(stored))


class DepartedTest(unittest.TestCase):
    """Guards against a target that has left and returns by a late heartbeat.

    The heartbeat may reach a process that was started after the target left.
    """

    def setUp(self):
        self.departed = []
        self.announcer = Announcer()
        self.registry = self.start()

    def start(self):
        """Starts a process that knows nothing."""
        return heartbeat_registry.HeartbeatRegistry(
            self.announcer,
            "n1",
            "dc",
            ADDRESS,
            "reads",
            on_departed=lambda *target: self.departed.append(target),
        )

    def leave_by_heartbeat(self):
        self.registry.heartbeat(
            1.0, attrs.evolve(FIRST, state=LEAVING, number=6)
        )

    def leave_by_deregistration(self):
        self.registry.leaving(1.0, "t1", 100)

    def replace(self):
        self.registry.heartbeat(
            1.0, attrs.evolve(FIRST, target="t2", incarnation=200)
        )

    @parameterized.expand(
        [
            ("leave_by_heartbeat",),
            ("leave_by_deregistration",),
            ("replace",),
        ]
    )
    def test_late_heartbeat_at_the_next_process(self, how):
        self.registry.heartbeat(0.0, FIRST)
        getattr(self, how)()
        self.assertEqual(self.departed, [("t1", 100)])
        new = self.start()
        new.recall(0.0, *self.departed[0])
        new.heartbeat(1.0, attrs.evolve(FIRST, number=9))
        self.assertIsNone(new.local("t1"))
        new.heartbeat(2.0, attrs.evolve(FIRST, number=0, incarnation=101))
        self.assertIsNotNone(new.local("t1"))

    def test_deregistration_of_a_target_that_is_not_known_yet(self):
        self.leave_by_deregistration()
        self.assertEqual(self.departed, [("t1", 100)])

    @parameterized.expand([("silent",), ("replaced",)])
    def test_lost_target_has_not_departed(self, how):
        self.registry.heartbeat(0.0, FIRST)
        if how == "silent":
            self.registry.expire(
                heartbeat_registry.HEARTBEAT_TIMEOUT_SECONDS + 1
            )
        else:
            self.registry.replaced(1.0, "t1")
        self.assertEqual(self.departed, [])

    def test_departure_that_is_learned_after_a_late_heartbeat(self):
        self.registry.heartbeat(0.0, FIRST)
        self.registry.recall(1.0, "t1", 100)
        self.assertIs(self.registry.local("t1").target.state, LEAVING)

    def test_departure_of_an_earlier_incarnation(self):
        self.registry.heartbeat(0.0, FIRST)
        self.registry.recall(1.0, "t1", 99)
        self.assertIsNot(self.registry.local("t1").target.state, LEAVING)

    def test_leaving_target_is_recorded_while_heartbeats_wait(self):
        # Guards against an acknowledgement that the process forgets when it
        # is killed before it knows which targets have left.
        self.registry.hold()
        self.registry.heartbeat(0.0, FIRST)
        self.registry.heartbeat(
            0.5, attrs.evolve(FIRST, state=LEAVING, number=FIRST.number + 1)
        )
        self.assertEqual(self.departed, [("t1", FIRST.incarnation)])
        self.registry.release(1.0)
        self.assertIs(self.registry.local("t1").target.state, LEAVING)

    def test_record_of_a_leaving_target_tells_its_incarnation(self):
        self.registry.heartbeat(0.0, FIRST)
        self.registry.leaving(1.0, "t1")
        sent = self.announcer.records[-1]
        self.assertEqual(sent.leaving_incarnation, FIRST.incarnation)

    def test_heartbeats_wait_until_departures_are_known(self):
        self.registry.hold()
        self.registry.heartbeat(0.0, FIRST)
        self.registry.heartbeat(
            0.5, attrs.evolve(FIRST, target="t2", incarnation=200)
        )
        self.assertIsNone(self.registry.local("t1"))
        self.registry.recall(1.0, "t2", 200)
        self.registry.release(1.0)
        self.assertIsNotNone(self.registry.local("t1"))
        self.assertIsNone(self.registry.local("t2"))
