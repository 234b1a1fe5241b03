"""Tests of the sliding-window counter."""

import unittest

from parameterized import parameterized

from cicadafront.limits import recent


class RecentTest(unittest.TestCase):
    """Guards against amounts that are never dropped, or dropped too early."""

    def test_old_amounts_are_dropped(self):
        window = recent.SlidingWindow(10.0, 0.0)
        for second in range(30):
            window.add(float(second))
        self.assertEqual(window.total(29.0), 10)
        self.assertEqual(window.total(34.5), 5)
        self.assertEqual(window.total(60.0), 0)

    @parameterized.expand([(1.0, 5.0), (2.0, 10.0), (5.0, 10.0), (20.0, 9.0)])
    def test_projection_of_a_new_counter(self, seconds, expected):
        window = recent.SlidingWindow(10.0, 0.0)
        for step in range(int(seconds)):
            window.add(float(step))
        self.assertEqual(window.projected(seconds), expected)


if __name__ == "__main__":
    unittest.main()
