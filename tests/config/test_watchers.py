"""Tests of the selection of the instances that watch the store."""

import unittest

from parameterized import parameterized

from cicadafront.config import watchers


def fleet(size):
    """Returns the ids of a fleet."""
    return [f"i{number}" for number in range(size)]


class SelectTest(unittest.TestCase):
    """Guards against calls to the store that grow with the fleet.

    Each revision of the configuration ends all watches. Few watchers would
    leave a fleet without news while the store rejects some instances.
    """

    @parameterized.expand(
        [(1, 1), (30, 30), (32, 32), (33, 32), (234, 32), (1300, 163)]
    )
    def test_number_of_watchers(self, size, expected):
        self.assertEqual(len(watchers.select(fleet(size))), expected)

    def test_order_does_not_matter(self):
        instances = fleet(100)
        self.assertEqual(
            watchers.select(instances), watchers.select(reversed(instances))
        )

    def test_departure_changes_at_most_one_selection(self):
        instances = fleet(234)
        before = watchers.select(instances)
        for id in instances:
            after = watchers.select(set(instances) - {id})
            self.assertLessEqual(len(after - before), 1)
            self.assertLessEqual(before - after, {id})


if __name__ == "__main__":
    unittest.main()
