"""Tests of instances that restart after the wall clock was set back."""

import unittest

from parameterized import parameterized

from cicadafront.membership import gossip, records
from tests.membership import network

GOSSIP_PARAMETERS = gossip.Parameters(
    digest_seconds=1.5, broadcast_all_changes=True
)
# Time within which a new target must be known to all instances.
JOINED_SECONDS = 2.0
# Incarnations of two starts, between which the clock was set back or not.
EARLIER, LATER = 1_000, 5_000


class IncarnationTest(unittest.TestCase):
    """Guards against an instance whose records are ignored after a restart.

    The incarnation comes from the wall clock. If the clock was set back, the
    new process has a lower incarnation than the old one, and the other
    instances would treat its records as stale.
    """

    @parameterized.expand(
        [
            ("killed", False, 0.5),
            ("known_dead", False, 10.0),
            ("departed", True, 0.5),
        ]
    )
    def test_restart_after_the_clock_went_back(self, _name, planned, away):
        net = network.Network(1)
        nodes = [
            net.start(f"i{n}", LATER, number=n, parameters=GOSSIP_PARAMETERS)
            for n in range(6)
        ]
        for node in nodes:
            node.load(net.now, [other.me for other in nodes])
        net.run(3)
        if planned:
            net.send("i0", nodes[0].depart(net.now))
        net.stop("i0")
        net.run(away)
        seeds = [node.me.gossip_address for node in nodes[1:]]
        made = net.start(
            "i0", EARLIER, seeds, number=0, parameters=GOSSIP_PARAMETERS
        )
        made.announce_target(
            net.now, records.TargetRecord("t0", "s", ("10.0.0.9", 80), 3)
        )
        net.run(JOINED_SECONDS)
        for id, node in net.nodes.items():
            with self.subTest(id):
                found = [target.id for target in node.targets("s")]
                self.assertEqual(found, ["t0"])
                self.assertIs(
                    node.instance("i0").liveness, records.Liveness.ALIVE
                )

    def test_same_id_at_another_address_supersedes(self):
        net = network.Network(1)
        first = net.start("i0", EARLIER, number=0, parameters=GOSSIP_PARAMETERS)
        other = net.start("i1", LATER, number=1, parameters=GOSSIP_PARAMETERS)
        second = net.start("i0", LATER, number=2, parameters=GOSSIP_PARAMETERS)
        other.load(net.now, [second.me])
        first.load(net.now, [second.me])
        self.assertTrue(first.superseded)
        self.assertEqual(first.me.incarnation, EARLIER)


if __name__ == "__main__":
    unittest.main()
