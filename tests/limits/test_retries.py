"""Tests of the retry budget of the whole fleet."""

import random
import unittest

from parameterized import parameterized

from cicadafront.limits import retries
from tests.limits import test_shares

ALLOWANCE = retries.Allowance(share=0.2, extra=60.0, window=10.0)


class RetryNet(test_shares.Net):
    """Entries that share the budget of a service."""

    def __init__(self, names=test_shares.NAMES):
        super().__init__(names=names)
        for member in self.members.values():
            member._accounts = lambda id: retries.budget_of(id, ALLOWANCE)
        self.budgets = [
            retries.FleetRetries(member, ALLOWANCE)
            for member in self.members.values()
        ]

    def play(self, rng, per_second, seconds, share):
        """Offers requests of which a share wants a retry.

        Returns:
            Times of the granted retries, and the number of refused ones.
        """
        granted, refused = [], []
        for _ in range(round(per_second * seconds)):
            budget = rng.choice(self.budgets)
            now = self.clock.seconds()
            budget.request("s", now)
            if rng.random() < share:
                asked = budget.try_retry("s", now)
                asked.addCallback(
                    lambda paid, now=now: (granted if paid else refused).append(
                        now
                    )
                )
            self.clock.advance(1 / per_second)
        self.clock.advance(1.0)
        return granted, len(refused)


class RetriesTest(unittest.TestCase):
    """Guards against retry storms, and against a budget nobody may use."""

    @parameterized.expand([(5,), (20,), (60,), (200,)])
    def test_bound_in_every_window(self, per_second):
        granted, _ = RetryNet().play(
            random.Random(1), per_second, 30, share=1.0
        )
        allowed = 0.2 * per_second * 10 + 60
        for start in granted:
            window = [t for t in granted if start <= t < start + 10]
            self.assertLessEqual(len(window), allowed)

    @parameterized.expand([(5,), (20,), (60,), (200,)])
    def test_retries_saved_in_calm_times_stay_in_the_budget(self, per_second):
        net = RetryNet([f"n{number}" for number in range(30)])
        rng = random.Random(1)
        net.play(rng, per_second, 30, share=0.0)
        granted, _ = net.play(rng, per_second, 20, share=1.0)
        allowed = 0.2 * per_second * 10 + 60
        for start in granted:
            window = [t for t in granted if start <= t < start + 10]
            self.assertLessEqual(len(window), allowed)

    @parameterized.expand([(5, 0.5), (20, 0.3), (60, 0.2)])
    def test_usual_faults_are_covered(self, per_second, share):
        granted, refused = RetryNet().play(
            random.Random(1), per_second, 30, share
        )
        self.assertLess(refused, 0.1 * len(granted))

    def test_accounts_of_callers_are_no_budgets(self):
        self.assertIsNone(retries.budget_of("retries", ALLOWANCE))
