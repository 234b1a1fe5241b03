"""Tests of the retry budget of the whole fleet."""

import bisect
import random
import unittest

from parameterized import parameterized

from cicadafront.limits import coordinators, retries
from tests.limits import test_shares

FLEET = [f"n{number}" for number in range(30)]
ALLOWANCE = retries.Allowance(share=0.2, extra=60.0, window=10.0)


class RetryFleet(test_shares.FakeFleet):
    """Entries that share the budget of a service."""

    def __init__(self, names=test_shares.NAMES):
        self.budgets = {}
        super().__init__(
            limit_of=lambda _, seen: ALLOWANCE.limit(seen), names=names
        )

    def add(self, name):
        """Starts an entry, again if it is there."""
        super().add(name)
        member = self.members[name]
        member._accounts = lambda id: retries.budget_of(id, ALLOWANCE)
        self.budgets[name] = retries.FleetRetryBudget(member, ALLOWANCE)

    def play(self, rng, per_second, seconds, share, repeated=0.0):
        """Offers requests of which a share wants a retry.

        Args:
            rng: Source of choices.
            per_second: Requests per second.
            seconds: Length of the load.
            share: Part of the requests that want a retry.
            repeated: Part of the requests that repeated ones make.

        Returns:
            Times of the repeats, and the number of refused ones.
        """
        found, refused = [], []
        for _ in range(round(per_second * seconds)):
            budget = self.budgets[rng.choice(self.names)]
            now = self.clock.seconds()
            called = rng.random() < repeated
            budget.request("s", now, float(called))
            if called:
                found.append(now)
            if rng.random() < share:
                asked = budget.try_retry("s", now)
                asked.addCallback(
                    lambda paid, now=now: (found if paid else refused).append(
                        now
                    )
                )
            self.clock.advance(1 / per_second)
        self.clock.advance(1.0)
        return found, len(refused)


def most_in_a_window(times):
    """Returns the most repeats in any window of 10 s."""
    times = sorted(times)
    return max(
        bisect.bisect_left(times, start + 10) - place
        for place, start in enumerate(times)
    )


def allowed(per_second):
    """Returns the repeats that a window of 10 s may have."""
    return 0.2 * per_second * 10 + 60


class RetriesTest(unittest.TestCase):
    """Guards against retry storms, and against a budget nobody may use."""

    @parameterized.expand([(5,), (20,), (60,), (200,)])
    def test_bound_in_every_window(self, per_second):
        granted, _ = RetryFleet().play(
            random.Random(1), per_second, 30, share=1.0
        )
        self.assertLessEqual(most_in_a_window(granted), allowed(per_second))

    @parameterized.expand([(5,), (20,), (60,), (200,)])
    def test_retries_saved_in_calm_times_stay_in_the_budget(self, per_second):
        fleet = RetryFleet(FLEET)
        rng = random.Random(1)
        fleet.play(rng, per_second, 30, share=0.0)
        granted, _ = fleet.play(rng, per_second, 20, share=1.0)
        self.assertLessEqual(most_in_a_window(granted), allowed(per_second))

    @parameterized.expand([(seed,) for seed in range(1, 9)])
    def test_keepers_that_are_replaced(self, seed):
        rng = random.Random(seed)
        fleet = RetryFleet(FLEET)
        first, second = coordinators.select(retries._PREFIX + "s", FLEET)

        def replace():
            fleet.add(rng.choice((first, second)))
            fleet.clock.callLater(rng.uniform(2.0, 6.0), replace)

        fleet.clock.callLater(rng.uniform(0.5, 3.0), replace)
        granted, _ = fleet.play(rng, 20, 40, share=1.0)
        self.assertLessEqual(most_in_a_window(granted), allowed(20))

    @parameterized.expand([(20, 12.0), (20, 17.0), (60, 12.0), (5, 9.0)])
    def test_all_instances_start_anew(self, per_second, at):
        fleet = RetryFleet(FLEET)

        def restart():
            fleet.isolated = set(FLEET)
            for name in FLEET:
                fleet.add(name)
            # They know nothing of each other for a moment.
            fleet.clock.callLater(1.0, fleet.isolated.clear)

        fleet.clock.callLater(at, restart)
        granted, _ = fleet.play(random.Random(1), per_second, 30, share=1.0)
        self.assertLessEqual(most_in_a_window(granted), allowed(per_second))

    @parameterized.expand(
        [(20, 0.05, 1.0), (20, 0.2, 1.0), (60, 0.1, 0.3), (60, 0.2, 1.0)]
    )
    def test_calls_of_repeated_requests_leave_less_for_retries(
        self, per_second, repeated, share
    ):
        fleet = RetryFleet(FLEET)
        found, _ = fleet.play(random.Random(1), per_second, 30, share, repeated)
        self.assertLessEqual(most_in_a_window(found), allowed(per_second))

    def test_calls_that_are_charged_while_no_keeper_answers(self):
        fleet = RetryFleet(FLEET)
        fleet.play(random.Random(1), 20, 10, share=0.0)
        fleet.isolated = set(coordinators.select(retries._PREFIX + "s", FLEET))
        found, _ = fleet.play(random.Random(1), 20, 20, share=1.0, repeated=0.2)
        self.assertLessEqual(most_in_a_window(found), allowed(20))

    @parameterized.expand([(3, 20), (6, 20), (2, 5), (1, 60)])
    def test_repeats_whose_calls_fan_out(self, calls, per_second):
        """Each request of the service s makes calls to the service b."""
        fleet = RetryFleet(FLEET)
        rng = random.Random(1)
        repeated = []

        def run(repeat):
            sidecar = fleet.budgets[rng.choice(FLEET[:6])]
            now = fleet.clock.seconds()
            if repeat and not sidecar.may_repeat(now):
                return
            for _ in range(calls):
                sidecar.request("b", now, float(repeat))
            repeated.extend([now] * calls * repeat)

        for _ in range(per_second * 40):
            entry = fleet.budgets[rng.choice(FLEET)]
            now = fleet.clock.seconds()
            entry.request("s", now)
            run(False)
            entry.try_retry("s", now).addCallback(
                lambda paid: run(True) if paid else None
            )
            fleet.clock.advance(1 / per_second)
        self.assertLessEqual(
            most_in_a_window(repeated), allowed(per_second * calls)
        )
        self.assertGreater(len(repeated), 40)

    @parameterized.expand([(5, 0.5), (20, 0.3), (60, 0.2)])
    def test_usual_faults_are_covered(self, per_second, share):
        granted, refused = RetryFleet().play(
            random.Random(1), per_second, 30, share
        )
        self.assertLess(refused, 0.1 * len(granted))

    def test_accounts_of_callers_are_no_budgets(self):
        self.assertIsNone(retries.budget_of("retries", ALLOWANCE))
