"""Tests of instances that join through seeds of which many are stale."""

import functools
import random
import unittest

from parameterized import parameterized

from cicadafront.membership import gossip, joining
from tests.membership import network

STALE = [(f"10.8.0.{number}", 7002) for number in range(1, 21)]
GOSSIP_PARAMETERS = gossip.Parameters(
    digest_seconds=1.5, broadcast_all_changes=True
)
FLEET = 30
START_SECONDS = 1.0
# Time within which all instances must apply a change of the configuration.
APPLY_SECONDS = 2.0
# Two instances that enforce the same rate limit must know each other before
# their windows fill.
DISCOVERY_SECONDS = 1.0


def all_connected(net):
    """Returns whether each instance considers all others alive."""
    return all(
        len(node.peers()) == len(net.nodes) - 1 for node in net.nodes.values()
    )


class JoiningTest(unittest.TestCase):
    """Guards against new instances that form a separate fleet.

    Instances that start together find each other first. They must still
    contact all seeds, many of which are stale, to find the existing fleet.
    """

    @parameterized.expand(
        [
            (f"{stale} stale {seed}", stale, seed)
            for stale in (2, 4)
            for seed in range(1, 21)
        ]
    )
    def test_new_instances_find_the_fleet(self, _name, stale, seed):
        net = network.Network(seed)
        [old] = net.fleet(1)
        found = [*STALE[:stale], old.me.gossip_address]
        for number in range(3):
            new = net.start(f"new{number}")
            new.seeds = list(found)
            found.append(new.me.gossip_address)
        net.run_until(lambda: all_connected(net), DISCOVERY_SECONDS)

    @parameterized.expand([(seed,) for seed in range(1, 11)])
    def test_two_pairs_merge(self, seed):
        net = network.Network(seed)
        nodes = net.fleet(2, parameters=GOSSIP_PARAMETERS)
        addresses = [node.me.gossip_address for node in nodes]
        pair = [
            net.start(f"new{number}", parameters=GOSSIP_PARAMETERS)
            for number in range(2)
        ]
        for node in pair:
            node.load(net.now, [other.me for other in pair])
        net.run(0.5)
        pair[0].seeds = [*STALE, *addresses]
        # First all addresses are contacted; then digests spread the rest.
        limit = joining.BATCH_INTERVAL_SECONDS * len(STALE) / joining.BATCH_SIZE
        limit += 3 * GOSSIP_PARAMETERS.digest_seconds
        net.run_until(lambda: all_connected(net), limit)

    @parameterized.expand([(seed,) for seed in range(1, 11)])
    def test_fleet_that_restarts_at_once(self, seed):
        net = network.Network(seed)
        draws = random.Random(seed)
        addresses = [network.address(number) for number in range(FLEET)]
        for number in range(FLEET):
            net.at(
                draws.uniform(0.0, START_SECONDS),
                functools.partial(_join, net, f"i{number:03d}", addresses),
            )
        net.run(START_SECONDS + APPLY_SECONDS)
        self.assertTrue(all_connected(net))


def _join(net, id, addresses):
    node = net.start(id, parameters=GOSSIP_PARAMETERS)
    node.seeds = [
        address for address in addresses if address != node.me.gossip_address
    ]
