"""Writes of the owners after an outage of the store."""

import unittest

from parameterized import parameterized

from cicadafront.config import model as config_model
from cicadafront.emulator import fleet as fleets
from cicadafront.limits import claims, schedule, shards

ACCOUNT = config_model.ClientAccount("amani", 20, 40)
# After 2 s without a renewal, an owner asks its deputy for confirmation, which
# opens an outage.
AWAY_SECONDS = 4.0
# Each shard needs one write for its new lease and one for the settled outage.
WRITES = 2 * shards.SHARDS


class SettleTest(unittest.TestCase):
    """Guards against concurrent writes for all shards after an outage.

    Such a burst of writes would delay the lease renewals.
    """

    @parameterized.expand([(20.0,), (50.0,)])
    def test_outage_settles_at_a_slow_store(self, per_second):
        fleet = fleets.Fleet(1, 3, 3, 0.0, (ACCOUNT,))
        fleet.advance(15)
        fleet.store.up = False
        fleet.advance(AWAY_SECONDS)
        fleet.store.writes_per_second = per_second
        fleet.store.up = True
        # The time suffices if half of the store's capacity is used.
        longest_pause = schedule.BACKOFF_SECONDS[1]
        fleet.advance(longest_pause + 2 * WRITES / per_second)
        found = [
            claims.decode(item.value)
            for key, item in fleet.store.items.items()
            if key.startswith(claims.OWNER_PREFIX)
        ]
        self.assertTrue(any(claim.settled for claim in found))
        unsettled = [
            state.number
            for node in fleet.nodes.values()
            for state in node.limits.ownership.core.shards
            if state.held and not state.settled
        ]
        self.assertEqual(unsettled, [])


if __name__ == "__main__":
    unittest.main()
