"""Tests of the model of rate coordinators under faults."""

import unittest

from parameterized import parameterized

from bench import rates


class RatesTest(unittest.TestCase):
    """Guards against a model that does not show what it is for."""

    def test_most_in_a_window(self):
        seconds = rates.TOLERANCE.seconds
        times = [0.0, 1.0, seconds - 0.1, seconds + 0.5, 3 * seconds]
        self.assertEqual(rates.most_in_a_window(times), 3)
        self.assertEqual(rates.most_in_a_window([]), 0)

    @parameterized.expand([(demand,) for demand in rates.DEMANDS])
    def test_limit_holds_without_a_fault(self, demand):
        found = rates.measure(None, demand, seed=1)
        self.assertLessEqual(found["window"], 1.0)
        self.assertGreater(found["served"], 0.9)

    def test_same_seed_gives_the_same_figures(self):
        fault = rates.Freeze(1.0)
        found = [rates.measure(fault, 3.0, seed=2) for _ in range(2)]
        self.assertEqual(*found)

    def test_coordinators_that_start_without_a_configuration(self):
        found = rates.measure(rates.Kill(1.5, times=8), 7.5, seed=1)
        self.assertLessEqual(found["window"], 1.0)

    @parameterized.expand(
        [
            ("frozen", rates.Freeze(1.0), 1),
            ("killed_often", rates.Kill(1.5, times=8), 8),
            ("stopped", rates.Stop(), 3),
            ("cut", rates.Cut(0.1), 3),
        ]
    )
    def test_fault_occurs(self, _name, fault, times):
        fleet = rates.Fleet(1)
        fleet.cause(fault)
        fleet.run(0.1)
        self.assertEqual(len(fleet.faults), times)


if __name__ == "__main__":
    unittest.main()
