"""Tests of simultaneous failures of many instances."""

import unittest

from parameterized import parameterized

from cicadafront.membership import records
from tests.membership import network
from tests.membership import test_gossip as helpers

ALIVE, DEAD = records.Liveness.ALIVE, records.Liveness.DEAD


def share(net, viewers, ids, expected) -> float:
    """Returns the share of viewer-instance pairs with the expected liveness."""
    pairs = [
        helpers.liveness(net.nodes[viewer], id) is expected
        for viewer in viewers
        for id in ids
        if viewer != id
    ]
    return sum(pairs) / len(pairs)


class MassFailureTest(unittest.TestCase):
    """Guards against gossip traffic that makes healthy instances look dead.

    If each suspicion is broadcast, 200 instances partitioned into halves
    exhaust their byte budgets within seconds. They then mark members of their
    own half as dead, and have not converged 39 s after the end of the
    partition.
    """

    def fleet(self, seed, size):
        net = network.Network(seed, network.Conditions(loss=0.01))
        net.fleet(size)
        net.run(10)
        return net, list(net.nodes)

    def watch(self, net, viewers, ids):
        """Collects pairs of viewer and instance that it marks as dead."""
        wrong = set()
        for viewer in viewers:
            node = net.nodes[viewer]

            def check(node=node):
                for id in ids:
                    if helpers.liveness(node, id) is DEAD:
                        wrong.add((node.me.id, id))

            node.on_change(check)
        return wrong

    def test_loss_of_a_rack(self):
        net, ids = self.fleet(21, 100)
        lost, left = ids[:20], ids[20:]
        wrong = self.watch(net, left, left)
        for id in lost:
            net.stop(id)
        net.run_until(lambda: share(net, left, lost, DEAD) == 1, 30)
        self.assertEqual(wrong, set())

    @parameterized.expand([("halves", 22, 40), ("data centre", 23, 15)])
    def test_partition_and_recovery(self, _name, seed, size):
        net, ids = self.fleet(seed, 80)
        one, other = ids[:size], ids[size:]
        net.conditions.block(one, other)
        net.conditions.block(other, one)
        net.run(60)
        for mine, theirs in ((one, other), (other, one)):
            self.assertEqual(share(net, mine, theirs, DEAD), 1)
            self.assertEqual(share(net, mine, mine, ALIVE), 1)
        net.conditions.blocked.clear()
        net.run_until(lambda: share(net, ids, ids, ALIVE) == 1, 60)


if __name__ == "__main__":
    unittest.main()
