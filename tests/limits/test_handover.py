"""Handovers in a planned stop, also while the store writes slowly."""

import unittest

from parameterized import parameterized

from cicadafront import ports
from cicadafront.config import model as config_model
from cicadafront.emulator import fleet as fleets
from cicadafront.limits import (
    actions,
    claims,
    decisions,
    departures,
    shard,
    shards,
)
from tests.limits import checks
from tests.limits.stops import HAND_OVER_SECONDS

# Half of the accounts have a low rate, so that tokens are granted one by one.
ACCOUNTS = tuple(
    config_model.ClientAccount(
        f"account{number}", *((20, 40) if number % 2 else (3, 6))
    )
    for number in range(60)
)
# Each account sends two requests per second, which is within its rate.
SEND_SECONDS = 0.5
STEP_SECONDS = 0.05


class StopFixture:
    """A fleet of three instances; one stops while all accounts send.

    Attributes:
        fleet: The fleet.
        watched: Checks of the history of the fleet.
        stopped: Times in seconds at which the instance had handed over all
            shards.
    """

    def __init__(self, seed: int):
        self.fleet = fleets.Fleet(seed, 3, 3, 0.0, ACCOUNTS)
        self.watched = checks.Watched(self.fleet)
        self.stopped: list[float] = []
        self.fleet.advance(15)

    def send(self, seconds: float) -> None:
        """Sends requests at the two remaining instances."""
        steps = round(seconds / STEP_SECONDS)
        each = round(SEND_SECONDS / STEP_SECONDS)
        for step in range(steps):
            for number, account in enumerate(ACCOUNTS):
                if number % each == step % each:
                    node = self.fleet.nodes[f"i{step // each % 2}"]
                    self.watched.admit(node, account.id)
            self.fleet.advance(STEP_SECONDS)
            self.watched.check()

    def stop(self) -> None:
        """Starts the planned stop of the third instance."""
        node = self.fleet.nodes["i2"]
        clock = self.fleet.world.clock
        node.process.run(
            lambda: node.limits.stop().addCallback(
                lambda _: self.stopped.append(clock.seconds())
            )
        )


class SlowStoreTest(unittest.TestCase):
    """Guards against refused requests within the rate in a planned stop.

    While a shard is handed over, no process grants credit for it. Slow writes
    to the store must not extend that beyond the time that requests wait.
    """

    @parameterized.expand(
        [
            (f"{name}, seed {seed}", seed, store)
            for seed in range(1, 4)
            for name, store in [
                ("writes of 50 to 300 ms", {"write_seconds": (0.05, 0.3)}),
                ("20 writes per second", {"writes_per_second": 20.0}),
                (
                    "30 writes per second of 0.1 s",
                    {"writes_per_second": 30.0, "write_seconds": (0.1, 0.1)},
                ),
                (
                    "a listen queue of 50",
                    {"writes_per_second": 200.0, "max_queued_writes": 50},
                ),
            ]
        ]
    )
    def test_no_request_is_refused(self, _name, seed, store):
        fixture = StopFixture(seed)
        owned = [
            account.id
            for account in ACCOUNTS
            if fixture.fleet.owner(account.id) == "i2"
        ]
        self.assertGreater(len(owned), 10)
        fixture.send(3)
        for name, value in store.items():
            setattr(fixture.fleet.store, name, value)
        fixture.stop()
        fixture.send(HAND_OVER_SECONDS)
        self.assertEqual(fixture.watched.refused, {})
        self.assertEqual(len(fixture.stopped), 1)
        for number in range(shards.SHARDS):
            self.assertNotIn(fixture.fleet.acting(number), ([], ["i2"]))


def _fleet(others):
    me = claims.Member("i0", 1)
    fleet = decisions.Fleet(me, "dc", 0.0)
    fleet.update(
        0.0,
        [
            ports.InstanceInfo(f"i{number}", 1, "dc", ("host", number))
            for number in range(others + 1)
        ],
    )
    return fleet


def _held(number, frozen_at=None, refused=(), releasing=False):
    state = shard.Shard(number, refused=refused, releasing=releasing)
    state.lifecycle.claim()
    state.lifecycle.acquired()
    if frozen_at is not None:
        state.freeze(frozen_at)
    return state


class OrderTest(unittest.TestCase):
    """Guards against too many shards without an acting owner at a time.

    That happens if too many handovers of a planned stop run concurrently.
    """

    @parameterized.expand(
        [
            ("none in progress", {}, [8, 7, 6, 5]),
            ("some in progress", {0: {}, 1: {}, 2: {}}, [8]),
            ("all in progress", {0: {}, 1: {}, 2: {}, 3: {}}, []),
            ("a release is not counted", {0: {"releasing": True}}, 4),
            (
                "a handover refused by all is not counted",
                {0: {"refused": ("i1", "i2")}},
                4,
            ),
            (
                "a retried handover is counted",
                {0: {"refused": ("i1",)}},
                3,
            ),
        ]
    )
    def test_concurrent_handovers(self, _name, frozen, expected):
        held = [
            _held(number, 10.0, **frozen[number])
            if number in frozen
            else _held(number)
            for number in range(9)
        ]
        used = {number: float(number) for number in range(5, 9)}
        found = departures.due(10.5, held, _fleet(2), True, used)
        started = [
            action.shard
            for action in found
            if isinstance(action, actions.HandOver)
            and action.shard not in frozen
        ]
        if isinstance(expected, int):
            self.assertEqual(len(started), expected)
        else:
            self.assertEqual(started, expected)


if __name__ == "__main__":
    unittest.main()
