"""Tests of the pace of comparisons and of the choice how a change spreads."""

import unittest

from parameterized import parameterized

from cicadafront.membership import pace

MAX_INTERVAL = 1.5
CALM_SECONDS = pace.MAX_LEARNED / pace.FORGOTTEN_PER_SECOND


def met(now=0.0):
    """Returns the pace of an instance that met its first peer at a time."""
    result = pace.Pace(MAX_INTERVAL, now)
    result.met_peers(now)
    return result


class IntervalTest(unittest.TestCase):
    """Guards against comparisons at a fixed pace.

    A slow one leaves an instance without most targets of a large fleet that
    starts; a fast one costs a fleet without changes bytes.
    """

    def intervals(self, one, start, count):
        """Returns the next intervals, without jitter."""
        found, now = [], start
        for _ in range(count):
            one.compares(now, 1.0)
            found.append(round(one.next_at - now, 3))
            now = one.next_at
        return found

    def test_interval_grows_while_nothing_is_learned(self):
        self.assertEqual(
            self.intervals(met(), 0.0, 5), [0.2, 0.4, 0.8, 1.5, 1.5]
        )

    def test_comparison_that_brings_records_is_repeated_soon(self):
        one = met()
        self.intervals(one, 0.0, 5)
        one.learned(3.5, 3, compared=True)
        self.assertAlmostEqual(one.next_at, 3.5 + pace.MIN_INTERVAL_SECONDS)

    def test_broadcast_does_not_hasten_the_comparison(self):
        one = met()
        self.intervals(one, 0.0, 5)
        due = one.next_at
        one.learned(4.5, 3, compared=False)
        self.assertEqual(one.next_at, due)


class SpreadTest(unittest.TestCase):
    """Guards against a broadcast of each change when all instances change.

    Each broadcast costs each instance several datagrams, so that the start of a
    fleet would cost the square of its size.
    """

    @parameterized.expand(
        [
            ("newcomer", 0, 0.5, pace.Spread.WAIT),
            ("calm", 0, 0.7, pace.Spread.BROADCAST),
            ("few_changes", 11, 0.7, pace.Spread.BROADCAST),
            ("many_changes", 20, 0.7, pace.Spread.COMPARE),
            ("calm_again", 20, 0.7 + CALM_SECONDS, pace.Spread.BROADCAST),
        ]
    )
    def test_spread(self, _name, learned, now, expected):
        one = met()
        one.learned(0.0, learned, compared=True)
        self.assertIs(one.spread(now), expected)

    def test_newcomer_broadcasts_soon_after_it_learned_the_fleet(self):
        one = met()
        one.learned(0.2, 2600, compared=True)
        self.assertIs(one.spread(0.7), pace.Spread.COMPARE)
        self.assertIs(one.spread(2.0), pace.Spread.BROADCAST)

    def test_instance_without_peers_waits(self):
        one = pace.Pace(MAX_INTERVAL, 0.0)
        self.assertIs(one.spread(100.0), pace.Spread.WAIT)

    def test_change_that_is_not_broadcast_is_compared_soon(self):
        one = met()
        one.compares(0.5, 1.0)
        one.compares(0.7, 1.0)
        one.compares(1.1, 1.0)
        one.learned(1.1, 20, compared=False)
        one.spread(1.1)
        self.assertAlmostEqual(one.next_at, 1.1 + pace.MIN_INTERVAL_SECONDS)


if __name__ == "__main__":
    unittest.main()
