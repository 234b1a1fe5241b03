"""Tests of a whole fleet that starts while the store is impaired."""

import random
import unittest

from parameterized import parameterized
from twisted.internet import task

from cicadafront import loops, ports
from cicadafront.membership import gossip, registration
from tests.membership import network, starts

SIZE = 30
GOSSIP_PARAMETERS = gossip.Parameters(
    digest_seconds=1.5, broadcast_all_changes=True
)
# Time within which all instances must find each other after a restart of all
# machines.
RECOVERY_SECONDS = 15.0
STEP_SECONDS = 0.05
INVALID_VALUES = (
    b"[" * 100_000,
    b'{"gossip": ["10.0.0.9", 1e999]}',
    b'{"gossip": ["10.0.0.9", 99999999]}',
    b'{"gossip": [], "target": 3}',
    b"\xff",
)


class ColdStartTest(unittest.TestCase):
    """Guards against a fleet that stays partitioned after a mass failure.

    All instances restart at almost the same time, while the store is slow,
    unavailable or has lost its entries. It also holds invalid entries.
    """

    @parameterized.expand(
        [
            (f"{name}_{seed}", delay, away, listed, seed)
            for name, delay, away, listed in (
                ("healthy", 0.004, 0.0, True),
                ("slow", 0.2, 0.0, True),
                ("unavailable", 0.2, 4.0, True),
                ("entries_expired", 0.2, 4.0, False),
            )
            for seed in (1, 2)
        ]
    )
    def test_all_instances_find_each_other(
        self, _name, delay, away, listed, seed
    ):
        clock = task.Clock()
        net = network.Network(seed)
        rng = random.Random(seed)
        store = starts.Store(clock, delay, away)
        for number, value in enumerate(INVALID_VALUES):
            key = f"{registration.PREFIX}odd{number}"
            store.entries[key] = ports.Versioned(value, 1)
        if listed:
            for number in range(SIZE):
                store.register(f"i{number}", network.address(number))
        for number in range(SIZE):
            at = rng.uniform(0.0, 0.5)
            net.at(at, lambda n=number: self.start(net, clock, store, n))
        while net.now < RECOVERY_SECONDS:
            net.run(STEP_SECONDS)
            clock.advance(STEP_SECONDS)
        for id, node in net.nodes.items():
            with self.subTest(id):
                self.assertEqual(len(node.peers()), SIZE - 1)

    def start(self, net, clock, store, number):
        """Starts an instance that finds others only through the store."""
        core = net.start(
            f"i{number}", number=number, parameters=GOSSIP_PARAMETERS
        )

        def found(addresses):
            core.seeds = [*core.seeds, *addresses]

        registration.Registration(
            core.me.id,
            core.me.gossip_address,
            running=loops.Loops(clock, random.Random(number)),
            store=store,
            found=found,
            alone=lambda: not core.peers(),
        ).start()
