"""Directed faults, each with and without a planted violation.

Without the plant, the rules must hold; with it, the check must fail, which
shows that the check and the scenario can find the fault.
"""

import unittest
from unittest import mock

from parameterized import parameterized

from cicadafront.emulator import virtual
from cicadafront.limits import (
    decisions,
    journal,
    ledger,
    ownership,
    shard,
    shards,
)
from tests.limits import checks, scenes, stops
from tests.limits.scenes import Scene


def owner_without_store(scene: Scene) -> None:
    """The deputy confirms an owner that is cut off from the store."""
    scene.cut_from_store(scene.owner)
    scene.watched.advance(20)
    assert scene.owner.acts(0)


def paused_owner(scene: Scene) -> None:
    """The owner's lease lapses while it is paused and unaware."""
    scene.owner.process.pause()
    scene.watched.advance(9)
    assert scene.deputy.acts(0)
    scene.owner.process.resume()
    scene.watched.advance(3)


def late_claim(scene: Scene) -> None:
    """A deputy's claim is delayed while the owner asks it to confirm."""
    world, store = scene.fleet.world, scene.fleet.store
    scene.cut_from_store(scene.owner)
    deputy = scene.deputy.process.info.id
    owner = scene.owner.process.info.id
    world.blocked |= {(owner, deputy)}
    # The claim takes effect, but its answer and all later ones are lost.
    for _ in range(20000):
        if store.items["owner/0"].version > 1:
            break
        scene.watched.advance(0.0005)
    world.blocked |= {(virtual.STORE, deputy)}
    world.blocked -= {(owner, deputy)}
    scene.watched.advance(4)
    world.blocked -= {(virtual.STORE, deputy)}
    scene.watched.advance(10)


def crash_with_credit_out(scene: Scene) -> None:
    """An owner crashes while all instances hold credit."""
    scene.spread(12, 0.5)
    scene.watched.advance(1.0)
    for node in scene.others:
        for _ in range(10):
            scene.watched.admit(node, "amani")
    scene.watched.advance(0.05)
    scene.owner.process.crash()
    for _ in range(40):
        for node in scene.others:
            scene.watched.admit(node, "amani")
            scene.watched.admit(node, "amani")
        scene.watched.advance(0.2)


def slow_holder(scene: Scene) -> None:
    """Credit is used up to its end while the bucket refills."""
    for _ in range(3):
        for node in scene.others:
            for _ in range(12):
                scene.watched.admit(node, "amani")
        scene.watched.advance(6)


def crash_after_begin(scene: Scene) -> None:
    """An owner crashes after a request began; its caller tries again."""
    scene.watched.begin(scene.others[0], "amani", "k")
    scene.watched.advance(1)
    assert scene.watched.runs
    scene.owner.process.crash()
    scene.watched.advance(8)
    scene.watched.begin(scene.others[1], "amani", "k")
    scene.watched.begin(scene.others[1], "amani", "new")
    scene.watched.advance(5)
    assert ("k", "outcome_unknown") in scene.watched.errors or not (
        scene.watched.errors
    )


def crash_after_outage(scene: Scene) -> None:
    """An owner kept a begin in memory only and then crashed."""
    scene.begin_in_memory()
    scene.owner.process.crash()
    scene.watched.advance(10)
    scene.watched.begin(scene.others[1], "amani", "k")
    scene.watched.advance(6)


def crash_early_in_outage(scene: Scene) -> None:
    """An owner loses the store and crashes before its deputy knows."""
    pair = (scene.owner.process.info.id, scene.deputy.process.info.id)
    scene.cut_from_store(scene.owner)
    scene.fleet.world.blocked.add(pair)
    scene.watched.begin(scene.others[0], "amani", "k")
    scene.watched.advance(2.4)
    scene.owner.process.crash()
    scene.watched.advance(9)
    scene.watched.begin(scene.others[1], "amani", "k")
    scene.watched.advance(4)


def planned_stop(scene: Scene) -> None:
    """A shard moves while its requests run and its credit is out."""
    for _ in range(6):
        for node in scene.others:
            scene.watched.admit(node, "amani")
        scene.watched.advance(0.3)
    scene.watched.begin(scene.others[0], "amani", "k")
    scene.watched.advance(1)
    scene.owner.limits.stop()
    for _ in range(10):
        scene.watched.begin(scene.others[1], "amani", "k")
        for node in scene.others:
            scene.watched.admit(node, "amani")
        scene.watched.advance(0.2)
    assert not scene.owner.acts(0)


def _no_entries(_value):
    return []


def _always(*_args):
    return True


def _stays_acting(core, now, number):
    return core.shards[number].held


def _double(grant):
    def issue(*args):
        issued = grant(*args)
        return ledger.Grant(
            issued.id,
            issued.amount * 2,
            issued.lifetime,
            issued.report_immediately,
        )

    return issue


PLANTS = [
    ("promise ignored", owner_without_store, (shard, "PROMISE_SECONDS", -99)),
    ("acts too long", paused_owner, (shard, "CONFIRMED_SECONDS", 30)),
    (
        "promise beside a claim",
        late_claim,
        (shard.Shard, "promise", _always),
    ),
    (
        "successor issues at once",
        crash_with_credit_out,
        (decisions, "GRANT_TAIL_SECONDS", -10),
    ),
    (
        "double credit",
        slow_holder,
        (ledger.Ledger, "_grant", _double(ledger.Ledger._grant)),
    ),
    ("journal unread", crash_after_begin, (journal, "entries", _no_entries)),
    (
        "outage unknown to the deputy",
        crash_after_outage,
        (shard.Shard, "clean_for_deputy", _always),
    ),
    (
        "memory only without the deputy",
        crash_early_in_outage,
        (ownership.Ownership, "memory_only", _always),
    ),
    (
        "owner acts after its hand-over",
        planned_stop,
        (ownership.Ownership, "freeze", _stays_acting),
    ),
]


class PlantTest(unittest.TestCase):
    """Guards against two owners, excess admissions and double starts."""

    @parameterized.expand([*PLANTS, *stops.PLANTS])
    def test_rules_hold(self, _name, scenario, _plant):
        scenes.run(scenario)

    @parameterized.expand([*PLANTS, *stops.PLANTS])
    def test_plant_is_found(self, _name, scenario, plant):
        with mock.patch.object(*plant):
            self.assertRaises(checks.ViolationError, scenes.run, scenario)


class TakeoverTest(unittest.TestCase):
    """Guards against an owner's loss that stops a shard for long."""

    @parameterized.expand([("process", False, 4.0), ("host", True, 8.0)])
    def test_deputy_claims(self, _name, silent, bound):
        with mock.patch.object(shards, "SHARDS", 1):
            scene = Scene(7)
            scene.owner.process.crash(silent)
            scene.watched.advance(bound)
            self.assertTrue(scene.deputy.acts(0))

    def test_refused_call_starts_the_takeover(self):
        """The directory takes 1.5 s to notice; a refused call is faster."""
        with mock.patch.object(shards, "SHARDS", 1):
            scene = Scene(11)
            scene.owner.process.crash()
            for node in scene.others:
                scene.watched.admit(node, "amani")
            scene.watched.advance(1.0)
            self.assertTrue(scene.deputy.acts(0))

    def test_suspicion_of_a_live_owner_changes_nothing(self):
        with mock.patch.object(shards, "SHARDS", 1):
            scene = Scene(12)
            owner = scene.owner.process.info.id
            for _ in range(20):
                core = scene.deputy.limits.ownership.core
                core.suspect(scene.deputy.process.seconds(), owner)
                scene.watched.advance(0.25)
            self.assertEqual(scene.fleet.acting(0), [owner])

    def test_pair_cut_off_is_not_replaced(self):
        """A timeout is no proof that owner and deputy have ended."""
        with mock.patch.object(shards, "SHARDS", 1):
            scene = Scene(8)
            pair = {
                node.process.info.id for node in (scene.owner, scene.deputy)
            }
            rest = set(scene.fleet.nodes) - pair
            scene.cut_from_store(scene.owner, scene.deputy)
            scene.fleet.split(pair, rest)
            scene.fleet.split(rest, pair)
            scene.watched.advance(60)
            self.assertEqual(
                scene.fleet.acting(0), [scene.owner.process.info.id]
            )

    def test_dead_pair_is_replaced(self):
        with mock.patch.object(shards, "SHARDS", 1):
            scene = Scene(9)
            scene.owner.process.crash()
            scene.deputy.process.crash()
            scene.watched.advance(12)
            acting = scene.fleet.acting(0)
            self.assertEqual(len(acting), 1)
            scene.watched.begin(scene.others[0], "amani", "k")
            scene.watched.advance(3)
            # The claim is unclean: the key may have run before.
            self.assertEqual(scene.watched.errors, [("k", "outcome_unknown")])

    def test_outage_settles(self):
        """After an outage of the store a takeover is clean again."""
        with mock.patch.object(shards, "SHARDS", 1):
            scene = Scene(10)
            scene.fleet.store.up = False
            scene.watched.advance(20)
            self.assertTrue(scene.owner.acts(0))
            scene.watched.begin(scene.others[0], "amani", "k")
            scene.watched.advance(3)
            self.assertEqual(len(scene.watched.runs), 1)
            scene.fleet.store.up = True
            scene.watched.advance(20)
            scene.owner.process.crash()
            scene.watched.advance(8)
            scene.watched.begin(scene.others[0], "amani", "k")
            scene.watched.begin(scene.others[0], "amani", "new")
            scene.watched.advance(3)
            self.assertEqual(len(scene.watched.runs), 2)
            self.assertEqual(scene.watched.errors, [("k", "outcome_unknown")])


if __name__ == "__main__":
    unittest.main()
