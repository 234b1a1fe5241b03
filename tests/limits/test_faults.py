"""Specific faults, each tested with and without a mutation of the code.

Without the mutation, the guarantees must hold. With it, a check must fail,
which shows that the scenario and the check can detect such a bug.
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
from tests.limits import checks, fixtures, stops
from tests.limits.fixtures import FleetFixture


def owner_without_store(fixture: FleetFixture) -> None:
    """The deputy confirms an owner that is cut off from the store."""
    fixture.cut_from_store(fixture.owner)
    fixture.watched.advance(20)
    assert fixture.owner.acts(0)


def paused_owner(fixture: FleetFixture) -> None:
    """The owner's lease lapses while it is paused and unaware."""
    fixture.owner.process.pause()
    fixture.watched.advance(9)
    assert fixture.deputy.acts(0)
    fixture.owner.process.resume()
    fixture.watched.advance(3)


def late_claim(fixture: FleetFixture) -> None:
    """A deputy's claim gets no answer while the owner asks it to confirm."""
    world, store = fixture.fleet.world, fixture.fleet.store
    fixture.cut_from_store(fixture.owner)
    deputy = fixture.deputy.process.info.id
    owner = fixture.owner.process.info.id
    world.blocked |= {(owner, deputy)}
    # The claim takes effect, but its answer and all later answers are lost.
    for _ in range(20000):
        if store.items["owner/0"].version > 1:
            break
        fixture.watched.advance(0.0005)
    world.blocked |= {(virtual.STORE, deputy)}
    world.blocked -= {(owner, deputy)}
    fixture.watched.advance(4)
    world.blocked -= {(virtual.STORE, deputy)}
    fixture.watched.advance(10)


def crash_with_outstanding_credit(fixture: FleetFixture) -> None:
    """An owner crashes while all instances hold credit."""
    fixture.send_to_others(12, 0.5)
    fixture.watched.advance(1.0)
    for node in fixture.others:
        for _ in range(10):
            fixture.watched.admit(node, "amani")
    fixture.watched.advance(0.05)
    fixture.owner.process.crash()
    for _ in range(40):
        for node in fixture.others:
            fixture.watched.admit(node, "amani")
            fixture.watched.admit(node, "amani")
        fixture.watched.advance(0.2)


def slow_holder(fixture: FleetFixture) -> None:
    """Holders use their credit until it expires while the bucket refills."""
    for _ in range(3):
        for node in fixture.others:
            for _ in range(12):
                fixture.watched.admit(node, "amani")
        fixture.watched.advance(6)


def crash_after_begin(fixture: FleetFixture) -> None:
    """An owner crashes after a request began; the caller retries."""
    fixture.watched.begin(fixture.others[0], "amani", "k")
    fixture.watched.advance(1)
    assert fixture.watched.runs
    fixture.owner.process.crash()
    fixture.watched.advance(8)
    fixture.watched.begin(fixture.others[1], "amani", "k")
    fixture.watched.begin(fixture.others[1], "amani", "new")
    fixture.watched.advance(5)
    assert ("k", "outcome_unknown") in fixture.watched.errors or not (
        fixture.watched.errors
    )


def crash_after_outage(fixture: FleetFixture) -> None:
    """An owner crashes after it kept a begun request in memory only."""
    fixture.begin_in_memory()
    fixture.owner.process.crash()
    fixture.watched.advance(10)
    fixture.watched.begin(fixture.others[1], "amani", "k")
    fixture.watched.advance(6)


def crash_early_in_outage(fixture: FleetFixture) -> None:
    """An owner loses the store and crashes before its deputy knows of it."""
    pair = (fixture.owner.process.info.id, fixture.deputy.process.info.id)
    fixture.cut_from_store(fixture.owner)
    fixture.fleet.world.blocked.add(pair)
    fixture.watched.begin(fixture.others[0], "amani", "k")
    fixture.watched.advance(2.4)
    fixture.owner.process.crash()
    fixture.watched.advance(9)
    fixture.watched.begin(fixture.others[1], "amani", "k")
    fixture.watched.advance(4)


def planned_stop(fixture: FleetFixture) -> None:
    """A shard moves while requests run and holders have credit."""
    for _ in range(6):
        for node in fixture.others:
            fixture.watched.admit(node, "amani")
        fixture.watched.advance(0.3)
    fixture.watched.begin(fixture.others[0], "amani", "k")
    fixture.watched.advance(1)
    fixture.owner.limits.stop()
    for _ in range(10):
        fixture.watched.begin(fixture.others[1], "amani", "k")
        for node in fixture.others:
            fixture.watched.admit(node, "amani")
        fixture.watched.advance(0.2)
    assert not fixture.owner.acts(0)


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


MUTATIONS = [
    ("promise ignored", owner_without_store, (shard, "PROMISE_SECONDS", -99)),
    ("acts too long", paused_owner, (shard, "AUTHORITY_SECONDS", 30)),
    (
        "promise despite a pending claim",
        late_claim,
        (shard.Shard, "promise", _always),
    ),
    (
        "new owner grants immediately",
        crash_with_outstanding_credit,
        (decisions, "GRANT_EXPIRY_SECONDS", -10),
    ),
    (
        "double credit",
        slow_holder,
        (ledger.Ledger, "_grant", _double(ledger.Ledger._grant)),
    ),
    ("journal not read", crash_after_begin, (journal, "entries", _no_entries)),
    (
        "deputy ignores the outage",
        crash_after_outage,
        (shard.Shard, "clean_for_deputy", _always),
    ),
    (
        "memory only without a promise",
        crash_early_in_outage,
        (ownership.Ownership, "memory_only", _always),
    ),
    (
        "owner acts after its handover",
        planned_stop,
        (ownership.Ownership, "freeze", _stays_acting),
    ),
]


class PlantTest(unittest.TestCase):
    """Guards against two owners, excess admissions and duplicate executions.

    They can come about when an owner crashes, pauses, stops or is cut off
    while holders have credit or requests run.
    """

    @parameterized.expand([*MUTATIONS, *stops.MUTATIONS])
    def test_guarantees_hold(self, _name, scenario, _mutation):
        fixtures.run(scenario)

    @parameterized.expand([*MUTATIONS, *stops.MUTATIONS])
    def test_mutation_is_detected(self, _name, scenario, mutation):
        with mock.patch.object(*mutation):
            self.assertRaises(checks.ViolationError, fixtures.run, scenario)


class TakeoverTest(unittest.TestCase):
    """Guards against a shard that stays unavailable after its owner is lost.

    A takeover needs proof that the owner cannot act any more. Missing proof
    delays it, and a wrong proof would lead to two owners.
    """

    @parameterized.expand([("process", False, 4.0), ("host", True, 8.0)])
    def test_deputy_claims(self, _name, silent, bound):
        with mock.patch.object(shards, "SHARDS", 1):
            fixture = FleetFixture(7)
            fixture.owner.process.crash(silent)
            fixture.watched.advance(bound)
            self.assertTrue(fixture.deputy.acts(0))

    def test_refused_call_starts_the_takeover(self):
        """The directory takes 1.5 s to detect a crash; a refused call less."""
        with mock.patch.object(shards, "SHARDS", 1):
            fixture = FleetFixture(11)
            fixture.owner.process.crash()
            for node in fixture.others:
                fixture.watched.admit(node, "amani")
            fixture.watched.advance(1.0)
            self.assertTrue(fixture.deputy.acts(0))

    def test_suspected_live_owner_keeps_the_shard(self):
        with mock.patch.object(shards, "SHARDS", 1):
            fixture = FleetFixture(12)
            owner = fixture.owner.process.info.id
            for _ in range(20):
                core = fixture.deputy.limits.ownership.core
                core.suspect(fixture.deputy.process.seconds(), owner)
                fixture.watched.advance(0.25)
            self.assertEqual(fixture.fleet.acting(0), [owner])

    def test_partitioned_owner_and_deputy_are_not_replaced(self):
        """A timeout does not prove that owner and deputy have ended."""
        with mock.patch.object(shards, "SHARDS", 1):
            fixture = FleetFixture(8)
            pair = {
                node.process.info.id for node in (fixture.owner, fixture.deputy)
            }
            rest = set(fixture.fleet.nodes) - pair
            fixture.cut_from_store(fixture.owner, fixture.deputy)
            fixture.fleet.split(pair, rest)
            fixture.fleet.split(rest, pair)
            fixture.watched.advance(60)
            self.assertEqual(
                fixture.fleet.acting(0), [fixture.owner.process.info.id]
            )

    def test_dead_owner_and_deputy_are_replaced(self):
        with mock.patch.object(shards, "SHARDS", 1):
            fixture = FleetFixture(9)
            fixture.owner.process.crash()
            fixture.deputy.process.crash()
            fixture.watched.advance(12)
            acting = fixture.fleet.acting(0)
            self.assertEqual(len(acting), 1)
            fixture.watched.begin(fixture.others[0], "amani", "k")
            fixture.watched.advance(3)
            # The claim is unclean: the key may have been executed before.
            self.assertEqual(fixture.watched.errors, [("k", "outcome_unknown")])

    def test_outage_settles(self):
        """A takeover after a settled store outage is clean."""
        with mock.patch.object(shards, "SHARDS", 1):
            fixture = FleetFixture(10)
            fixture.fleet.store.up = False
            fixture.watched.advance(20)
            self.assertTrue(fixture.owner.acts(0))
            fixture.watched.begin(fixture.others[0], "amani", "k")
            fixture.watched.advance(3)
            self.assertEqual(len(fixture.watched.runs), 1)
            fixture.fleet.store.up = True
            fixture.watched.advance(20)
            fixture.owner.process.crash()
            fixture.watched.advance(8)
            fixture.watched.begin(fixture.others[0], "amani", "k")
            fixture.watched.begin(fixture.others[0], "amani", "new")
            fixture.watched.advance(3)
            self.assertEqual(len(fixture.watched.runs), 2)
            self.assertEqual(fixture.watched.errors, [("k", "outcome_unknown")])


if __name__ == "__main__":
    unittest.main()
