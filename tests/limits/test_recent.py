"""Tests of counts over a sliding window."""

import unittest

from parameterized import parameterized

from cicadafront.limits import recent


class RecentTest(unittest.TestCase):
    """Guards against counts that never forget, or forget too early."""

    def test_old_amounts_leave(self):
        found = recent.SlidingWindow(10.0, 0.0)
        for second in range(30):
            found.add(float(second))
        self.assertEqual(found.total(29.0), 10)
        self.assertEqual(found.total(34.5), 5)
        self.assertEqual(found.total(60.0), 0)

    @parameterized.expand([(1.0, 5.0), (2.0, 10.0), (5.0, 10.0), (20.0, 9.0)])
    def test_pace_of_a_new_count(self, seconds, expected):
        found = recent.SlidingWindow(10.0, 0.0)
        for step in range(int(seconds)):
            found.add(float(step))
        self.assertEqual(found.projected(seconds), expected)


if __name__ == "__main__":
    unittest.main()
