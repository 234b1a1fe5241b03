"""Tests of configurations that are large for the links of the machines."""

import unittest

from cicadafront.config import follow
from tests.config import narrow

# Time within which an accepted configuration must be active everywhere.
IN_FORCE_SECONDS = 2.5
# Time for which a caller waits until its connection is open.
CONNECT_SECONDS = 1.0
# Mean rate at which an instance may receive configurations while nothing
# changes, in bytes per second.
IDLE_BYTES_PER_SECOND = 2000


SIZE = 36


class NarrowLinksTest(unittest.TestCase):
    """Guards against configurations that fill the links of the machines.

    The second of two changes comes while the first one still spreads.
    """

    @classmethod
    def setUpClass(cls):
        fleet = narrow.Fleet(SIZE, 1, routes=2800)
        fleet.call_all()
        fleet.document.add_routes(1400)
        fleet.write()
        fleet.run(2.0)
        fleet.document.change_route()
        revision = fleet.write()
        lost = fleet.count("links_lost")
        fleet.run(IN_FORCE_SECONDS)
        cls.behind = fleet.behind(revision)
        fleet.run(2 * follow.STALE_READ_SECONDS)
        cls.longest_connect = fleet.longest_connect
        cls.lost = fleet.count("links_lost") - lost
        before = fleet.received()
        fleet.run(2 * follow.STALE_READ_SECONDS)
        received = (fleet.received() - before) / SIZE
        cls.idle_rate = received / (2 * follow.STALE_READ_SECONDS)

    def test_late_activation_of_a_large_configuration(self):
        self.assertEqual(self.behind, [])

    def test_late_connections_beside_a_large_configuration(self):
        self.assertLess(self.longest_connect, CONNECT_SECONDS)

    def test_lost_links_beside_a_large_configuration(self):
        self.assertEqual(self.lost, 0)

    def test_repeated_transfers_of_an_unchanged_configuration(self):
        self.assertLess(self.idle_rate, IDLE_BYTES_PER_SECOND)


class StoreReadTest(unittest.TestCase):
    """Guards against reads that are cut off and begun again without end."""

    def test_endless_reads_of_a_large_configuration(self):
        fleet = narrow.Fleet(1, 1, routes=5600, links=(narrow.SLOW_LINK,))
        self.assertEqual(fleet.behind(1), [])
