"""Tests of instances that start again while the time of day has stepped."""

import unittest

from parameterized import parameterized

from cicadafront.membership import gossip, records
from tests.membership import network

GOSSIP_PARAMETERS = gossip.Parameters(
    digest_seconds=1.5, broadcast_all_changes=True
)
# Time in which a target that joins must get work.
JOINED_SECONDS = 2.0
# Beyond any start of the day.
EARLIER, LATER = 1_000, 5_000


class IncarnationTest(unittest.TestCase):
    """Guards against an instance that nobody believes after a restart."""

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

    def test_another_address_is_another_process(self):
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
