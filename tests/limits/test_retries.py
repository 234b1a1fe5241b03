"""Tests of the fleet-wide retry budget."""

import bisect
import random
import unittest

from parameterized import parameterized

from cicadafront.limits import coordinators, retries
from tests.limits import test_shares

FLEET = [f"n{number}" for number in range(30)]
ALLOWANCE = retries.Allowance(share=0.2, extra=60.0, window=10.0)


class RetryFleet(test_shares.FakeFleet):
    """Instances that share the retry budget of a service."""

    def __init__(self, names=test_shares.NAMES):
        self.budgets = {}
        super().__init__(
            limit_of=lambda _, seen: ALLOWANCE.limit(seen), names=names
        )

    def add(self, name):
        """Starts an instance, or restarts it."""
        super().add(name)
        member = self.members[name]
        member._accounts = lambda id: retries.budget_of(id, ALLOWANCE)
        self.budgets[name] = retries.FleetRetryBudget(member, ALLOWANCE)

    def run_load(self, rng, per_second, seconds, share, repeated=0.0):
        """Sends requests, a fraction of which attempt a retry.

        Args:
            rng: Random source.
            per_second: Requests per second.
            seconds: Duration of the load in seconds.
            share: Fraction of the requests that attempt a retry.
            repeated: Fraction of the requests that are made by retried ones.

        Returns:
            Times of the retries in seconds, and the number of refused retries.
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
    """Returns the highest number of retries in any window of 10 s."""
    times = sorted(times)
    return max(
        bisect.bisect_left(times, start + 10) - index
        for index, start in enumerate(times)
    )


def allowed(per_second):
    """Returns the number of retries that are allowed in a window of 10 s."""
    return 0.2 * per_second * 10 + 60


class RetriesTest(unittest.TestCase):
    """Guards against retry storms, and against budgets that cannot be used.

    The bound must hold in every window, also while coordinators are replaced
    or unreachable, and while the calls of retried requests are charged.
    """

    @parameterized.expand([(5,), (20,), (60,), (200,)])
    def test_bound_in_every_window(self, per_second):
        granted, _ = RetryFleet().run_load(
            random.Random(1), per_second, 30, share=1.0
        )
        self.assertLessEqual(most_in_a_window(granted), allowed(per_second))

    @parameterized.expand([(5,), (20,), (60,), (200,)])
    def test_unused_retries_do_not_accumulate(self, per_second):
        fleet = RetryFleet(FLEET)
        rng = random.Random(1)
        fleet.run_load(rng, per_second, 30, share=0.0)
        granted, _ = fleet.run_load(rng, per_second, 20, share=1.0)
        self.assertLessEqual(most_in_a_window(granted), allowed(per_second))

    @parameterized.expand([(seed,) for seed in range(1, 9)])
    def test_replaced_coordinators(self, seed):
        rng = random.Random(seed)
        fleet = RetryFleet(FLEET)
        first, second = coordinators.select(retries._PREFIX + "s", FLEET)

        def replace():
            fleet.add(rng.choice((first, second)))
            fleet.clock.callLater(rng.uniform(2.0, 6.0), replace)

        fleet.clock.callLater(rng.uniform(0.5, 3.0), replace)
        granted, _ = fleet.run_load(rng, 20, 40, share=1.0)
        self.assertLessEqual(most_in_a_window(granted), allowed(20))

    @parameterized.expand([(20, 12.0), (20, 17.0), (60, 12.0), (5, 9.0)])
    def test_all_instances_restart(self, per_second, at):
        fleet = RetryFleet(FLEET)

        def restart():
            fleet.isolated = set(FLEET)
            for name in FLEET:
                fleet.add(name)
            # The restarted instances do not reach each other for 1 s.
            fleet.clock.callLater(1.0, fleet.isolated.clear)

        fleet.clock.callLater(at, restart)
        granted, _ = fleet.run_load(random.Random(1), per_second, 30, share=1.0)
        self.assertLessEqual(most_in_a_window(granted), allowed(per_second))

    @parameterized.expand(
        [(20, 0.05, 1.0), (20, 0.2, 1.0), (60, 0.1, 0.3), (60, 0.2, 1.0)]
    )
    def test_calls_of_repeated_requests_leave_less_for_retries(
        self, per_second, repeated, share
    ):
        fleet = RetryFleet(FLEET)
        found, _ = fleet.run_load(
            random.Random(1), per_second, 30, share, repeated
        )
        self.assertLessEqual(most_in_a_window(found), allowed(per_second))

    def test_calls_charged_while_no_coordinator_answers(self):
        fleet = RetryFleet(FLEET)
        fleet.run_load(random.Random(1), 20, 10, share=0.0)
        fleet.isolated = set(coordinators.select(retries._PREFIX + "s", FLEET))
        found, _ = fleet.run_load(
            random.Random(1), 20, 20, share=1.0, repeated=0.2
        )
        self.assertLessEqual(most_in_a_window(found), allowed(20))

    @parameterized.expand([(3, 20), (6, 20), (2, 5), (1, 60)])
    def test_retried_requests_whose_calls_fan_out(self, calls, per_second):
        """Each request of service s makes several calls to service b."""
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
    def test_budget_covers_common_fault_rates(self, per_second, share):
        granted, refused = RetryFleet().run_load(
            random.Random(1), per_second, 30, share
        )
        self.assertLess(refused, 0.1 * len(granted))

    def test_client_accounts_are_not_budgets(self):
        self.assertIsNone(retries.budget_of("retries", ALLOWANCE))
