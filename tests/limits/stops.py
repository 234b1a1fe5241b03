"""Faults of a planned stop of all instances, each with a plant.

`test_faults` runs them.
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
from tests.limits.scenes import Scene

# A daemon waits this long for the end of its hand-overs.
HAND_OVER_SECONDS = 8.0
SEEDS = 3
# Name, scenario and patch of each planted violation.
PLANTS: list[tuple[str, Callable[[Scene], None], tuple]] = []


def planted(name: str, owner, attribute: str, value):
    """Adds a scenario whose check must find a violation."""

    def add(scenario: Callable[[Scene], None]) -> Callable[[Scene], None]:
        PLANTS.append((name, scenario, (owner, attribute, value)))
        return scenario

    return add


def _acts_while_held(core, _now, number):
    state = core.shards[number]
    return state.claim.epoch if state.held else None


def stop_all(fleet: fleets.Fleet) -> list[str]:
    """Stops all instances; the result grows by those that have stopped."""
    stopped: list[str] = []
    for id, node in fleet.nodes.items():

        def stop(id=id, node=node) -> None:
            node.limits.stop().addCallback(lambda _: stopped.append(id))

        node.process.run(stop)
    return stopped


def claim_of(scene: Scene) -> claims.Claim:
    """Returns the claim of shard 0 in the store."""
    return claims.decode(scene.fleet.store.items["owner/0"].value)


def until_released(scene: Scene) -> None:
    """Runs the fleet until the owner's release has taken effect."""
    for _ in range(20000):
        if claim_of(scene).stopped:
            return
        scene.watched.advance(0.002)
    raise AssertionError("the shard was not released in 40 s")


def restart_all(scene: Scene) -> None:
    """Starts all instances again as new processes."""
    for id in list(scene.fleet.nodes):
        scene.fleet.restart(id)


def begin_again(scene: Scene) -> None:
    """Sends an earlier key and a new one to the fleet."""
    node = scene.fleet.nodes["i0"]
    scene.watched.begin(node, "amani", "k")
    scene.watched.begin(node, "amani", "new")
    scene.watched.advance(6)


@planted("journal unread", journal, "entries", lambda _: [])
def whole_stop(scene: Scene) -> None:
    """All instances stop and start after a request has begun."""
    scene.watched.begin(scene.others[0], "amani", "k")
    scene.watched.advance(1)
    stopped = stop_all(scene.fleet)
    scene.watched.advance(HAND_OVER_SECONDS)
    assert len(stopped) == 6, stopped
    restart_all(scene)
    scene.watched.advance(4)
    begin_again(scene)
    assert scene.watched.errors == [("k", "outcome_unknown")]
    assert len(scene.watched.runs) == 2


@planted("release before the journal", journal.Journal, "complete", True)
def begins_in_memory(scene: Scene) -> None:
    """The store returns during the stop; the owner then crashes."""
    scene.begin_in_memory()
    # The lease is confirmed before the journal is written again.
    with mock.patch.object(records_service, "RETRY_SECONDS", (15.0, 15.0)):
        scene.watched.advance(2)
    stop_all(scene.fleet)
    scene.fleet.heal()
    until_released(scene)
    restart_all(scene)
    scene.watched.advance(4)
    begin_again(scene)


@planted(
    "acts after a lost answer", ownership.Ownership, "acts", _acts_while_held
)
def lost_answer(scene: Scene) -> None:
    """The owner never learns that its release took effect."""
    stop_all(scene.fleet)
    owner = scene.owner.process.info.id
    scene.fleet.world.blocked.add((virtual.STORE, owner))
    until_released(scene)
    for id in list(scene.fleet.nodes):
        if id != owner:
            scene.fleet.restart(id)
    # A candidate claims only what no better candidate is there to claim.
    for node in scene.fleet.nodes.values():
        node.process.info = attrs.evolve(
            node.process.info, leaving=node is scene.owner
        )
    scene.watched.advance(4)
    assert scene.fleet.acting(0) not in ([], [owner])
    scene.fleet.heal()
    scene.watched.advance(4)
    assert scene.fleet.acting(0) not in ([], [owner])


@planted("acts after a pause", ownership.Ownership, "acts", _acts_while_held)
def paused_after_release(scene: Scene) -> None:
    """The owner sleeps from its release until another owner acts."""
    stop_all(scene.fleet)
    owner = scene.owner.process.info.id
    until_released(scene)
    scene.owner.process.pause()
    for id in list(scene.fleet.nodes):
        if id != owner:
            scene.fleet.restart(id)
    scene.watched.advance(3)
    assert scene.fleet.acting(0)
    scene.owner.process.resume()
    scene.watched.advance(4)
    assert len(scene.fleet.acting(0)) == 1


@planted("credit at once", decisions, "GRANT_TAIL_SECONDS", -10)
def credit_out(scene: Scene) -> None:
    """A new owner claims while holders use the former owner's credit."""
    scene.spread(12, 0.5)
    scene.watched.advance(1)
    stop_all(scene.fleet)
    for node in scene.others:
        for _ in range(10):
            scene.watched.admit(node, "amani")
    until_released(scene)
    scene.fleet.restart(scene.owner.process.info.id)
    for _ in range(160):
        for node in scene.others:
            for _ in range(2):
                scene.watched.admit(node, "amani")
        scene.watched.advance(0.05)
