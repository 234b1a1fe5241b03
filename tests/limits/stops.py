"""Faults in a planned stop of all instances, each with a mutation of the code.

`test_faults` runs the scenarios with and without the mutations.
"""

from collections.abc import Callable
from unittest import mock

import attrs

from cicadafront.emulator import fleet as fleets
from cicadafront.emulator import virtual
from cicadafront.limits import (
    claims,
    decisions,
    journal,
    ownership,
    records_service,
)
from tests.limits.fixtures import FleetFixture

# A daemon waits at most this long for its handovers.
HAND_OVER_SECONDS = 8.0
SEEDS = 3
# Name, scenario and patch of each mutation.
MUTATIONS: list[tuple[str, Callable[[FleetFixture], None], tuple]] = []


def mutated(name: str, owner, attribute: str, value):
    """Registers a scenario that must fail if `owner.attribute` is `value`."""

    def add(
        scenario: Callable[[FleetFixture], None],
    ) -> Callable[[FleetFixture], None]:
        MUTATIONS.append((name, scenario, (owner, attribute, value)))
        return scenario

    return add


def _acts_while_held(core, _now, number):
    state = core.shards[number]
    return state.claim.epoch if state.held else None


def stop_all(fleet: fleets.Fleet) -> list[str]:
    """Starts a planned stop of all instances.

    Returns a list to which the id of each stopped instance is appended.
    """
    stopped: list[str] = []
    for id, node in fleet.nodes.items():

        def stop(id=id, node=node) -> None:
            node.limits.stop().addCallback(lambda _: stopped.append(id))

        node.process.run(stop)
    return stopped


def stored_claim(fixture: FleetFixture) -> claims.Claim:
    """Returns the claim of shard 0 in the store."""
    return claims.decode(fixture.fleet.store.items["owner/0"].value)


def advance_until_released(fixture: FleetFixture) -> None:
    """Runs the fleet until the store holds the owner's release."""
    for _ in range(20000):
        if stored_claim(fixture).stopped:
            return
        fixture.watched.advance(0.002)
    raise AssertionError("the shard was not released within 40 s")


def restart_all(fixture: FleetFixture) -> None:
    """Restarts all instances as new processes."""
    for id in list(fixture.fleet.nodes):
        fixture.fleet.restart(id)


def begin_again(fixture: FleetFixture) -> None:
    """Begins the earlier key `k` and a new key."""
    node = fixture.fleet.nodes["i0"]
    fixture.watched.begin(node, "amani", "k")
    fixture.watched.begin(node, "amani", "new")
    fixture.watched.advance(6)


@mutated("journal not read", journal, "entries", lambda _: [])
def stop_and_restart(fixture: FleetFixture) -> None:
    """All instances stop and restart after a request has begun."""
    fixture.watched.begin(fixture.others[0], "amani", "k")
    fixture.watched.advance(1)
    stopped = stop_all(fixture.fleet)
    fixture.watched.advance(HAND_OVER_SECONDS)
    assert len(stopped) == 6, stopped
    restart_all(fixture)
    fixture.watched.advance(4)
    begin_again(fixture)
    assert fixture.watched.errors == [("k", "outcome_unknown")]
    assert len(fixture.watched.runs) == 2


@mutated("release before the journal", journal.Journal, "complete", True)
def begins_in_memory(fixture: FleetFixture) -> None:
    """The store recovers during the stop; the owner then crashes."""
    fixture.begin_in_memory()
    # The lease is confirmed before the journal write is retried.
    with mock.patch.object(records_service, "RETRY_SECONDS", (15.0, 15.0)):
        fixture.watched.advance(2)
    stop_all(fixture.fleet)
    fixture.fleet.heal()
    advance_until_released(fixture)
    restart_all(fixture)
    fixture.watched.advance(4)
    begin_again(fixture)


@mutated(
    "acts after a lost answer", ownership.Ownership, "acts", _acts_while_held
)
def lost_answer(fixture: FleetFixture) -> None:
    """The owner gets no answer to its release, which takes effect."""
    stop_all(fixture.fleet)
    owner = fixture.owner.process.info.id
    fixture.fleet.world.blocked.add((virtual.STORE, owner))
    advance_until_released(fixture)
    for id in list(fixture.fleet.nodes):
        if id != owner:
            fixture.fleet.restart(id)
    # A candidate claims a shard only if no higher-ranked candidate is
    # available.
    for node in fixture.fleet.nodes.values():
        node.process.info = attrs.evolve(
            node.process.info, leaving=node is fixture.owner
        )
    fixture.watched.advance(4)
    assert fixture.fleet.acting(0) not in ([], [owner])
    fixture.fleet.heal()
    fixture.watched.advance(4)
    assert fixture.fleet.acting(0) not in ([], [owner])


@mutated("acts after a pause", ownership.Ownership, "acts", _acts_while_held)
def paused_after_release(fixture: FleetFixture) -> None:
    """The owner is paused from its release until another owner acts."""
    stop_all(fixture.fleet)
    owner = fixture.owner.process.info.id
    advance_until_released(fixture)
    fixture.owner.process.pause()
    for id in list(fixture.fleet.nodes):
        if id != owner:
            fixture.fleet.restart(id)
    fixture.watched.advance(3)
    assert fixture.fleet.acting(0)
    fixture.owner.process.resume()
    fixture.watched.advance(4)
    assert len(fixture.fleet.acting(0)) == 1


@mutated("credit granted immediately", decisions, "GRANT_EXPIRY_SECONDS", -10)
def outstanding_credit(fixture: FleetFixture) -> None:
    """A new owner claims while holders use credit of the previous owner."""
    fixture.send_to_others(12, 0.5)
    fixture.watched.advance(1)
    stop_all(fixture.fleet)
    for node in fixture.others:
        for _ in range(10):
            fixture.watched.admit(node, "amani")
    advance_until_released(fixture)
    fixture.fleet.restart(fixture.owner.process.info.id)
    for _ in range(160):
        for node in fixture.others:
            for _ in range(2):
                fixture.watched.admit(node, "amani")
        fixture.watched.advance(0.05)
