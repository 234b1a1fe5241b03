"""Tests of the fair queue in front of a target's slots."""

import random
import unittest

from parameterized import parameterized

from bench import loop
from cicadafront import errors
from cicadafront.routing import fairqueue


class _Target:
    """A queue whose requests run for a fixed time, on virtual time."""

    def __init__(self, slots=3, seconds=0.02, **bounds):
        self.clock = loop.Loop()
        self.seconds = seconds
        self.started = []
        self.refused = []
        self.most = 0
        self.queue = fairqueue.FairQueue(
            slots, self._start, self._reject, **bounds
        )
        self.clock.every(0.05, lambda: self.queue.tick(self.clock.now))

    def _start(self, entry):
        self.started.append(entry)
        self.most = max(self.most, self.queue.in_use)
        self.clock.later(
            self.seconds,
            lambda: self.queue.finished(entry, self.clock.now),
        )

    def _reject(self, entry, error):
        self.refused.append((entry, error))

    def submit(self, account, timeout=5.0, weight=1.0):
        deadline = self.clock.now + timeout
        entry = fairqueue.Entry(account, deadline, weight)
        self.queue.submit(entry, self.clock.now)
        return entry

    def load(self, account, rate, until, rng, weight=1.0):
        def again():
            if self.clock.now < until:
                self.submit(account, weight=weight)
                self.clock.later(rng.expovariate(rate), again)

        self.clock.later(rng.expovariate(rate), again)

    def codes(self, account):
        return {e.code for entry, e in self.refused if entry.account == account}


class SlotTest(unittest.TestCase):
    """Guards against more running requests than slots, and lost requests."""

    def test_slots_are_never_exceeded_and_nothing_is_lost(self):
        for seed in range(5):
            rng = random.Random(seed)
            target = _Target()
            for account in "abcd":
                target.load(account, 100.0, 10.0, rng)
            count = 0
            submit = target.submit

            def counted(*args, submit=submit, **kwargs):
                nonlocal count
                count += 1
                return submit(*args, **kwargs)

            target.submit = counted
            target.clock.run(30.0)
            self.assertEqual(3, target.most)
            self.assertEqual(count, len(target.started) + len(target.refused))
            self.assertEqual((0, 0), (target.queue.in_use, target.queue.queued))
            refused = {id(entry) for entry, _ in target.refused}
            ran = {id(entry) for entry in target.started}
            self.assertEqual(set(), refused & ran)


class FairnessTest(unittest.TestCase):
    """Guards against an account that takes the share of other accounts.

    A burst, a large backlog or long requests of one account must not delay or
    shed the requests of accounts within their share.
    """

    @parameterized.expand([("equal", 1.0, 0.5), ("three to one", 3.0, 0.75)])
    def test_shares_follow_weights(self, _name, weight, expected):
        target = _Target()
        rng = random.Random(1)
        target.load("a", 300.0, 20.0, rng, weight)
        target.load("b", 300.0, 20.0, rng)
        target.clock.run(20.0)
        ran = sum(entry.account == "a" for entry in target.started)
        self.assertAlmostEqual(expected, ran / len(target.started), delta=0.05)

    def test_long_requests_are_charged_for_their_time(self):
        target = _Target()
        rng = random.Random(1)
        target.load("long", 300.0, 20.0, rng)
        target.load("short", 300.0, 20.0, rng)
        start = target._start

        def by_account(entry):
            target.seconds = 0.1 if entry.account == "long" else 0.02
            start(entry)

        target.queue._start = by_account
        target.clock.run(20.0)
        ran = sum(entry.account == "long" for entry in target.started)
        self.assertAlmostEqual(5.0, len(target.started) / ran - 1, delta=1.0)

    def test_burst_of_idle_account_overtakes_backlog(self):
        target = _Target()
        target.load("noisy", 600.0, 20.0, random.Random(1))
        target.clock.run(5.0)
        burst = [target.submit("quiet") for _ in range(3)]
        target.clock.run(6.0)
        # Each waits for at most one running request to end.
        for entry in burst:
            self.assertLessEqual(entry.started - entry.queued, 0.0201)

    def test_fair_backlog_excludes_requests_beyond_the_share(self):
        target = _Target(slots=1, seconds=10.0)
        for account in "abc":
            target.submit(account)
        self.assertEqual(2, target.queue.fair_backlog())
        for _ in range(20):
            target.submit("a")
        self.assertEqual(22, target.queue.queued)
        self.assertLess(target.queue.fair_backlog(), 8)

    def test_backlog_does_not_shed_other_accounts(self):
        target = _Target()
        rng = random.Random(1)
        target.load("noisy", 600.0, 20.0, rng)
        target.load("quiet", 20.0, 20.0, rng)
        target.clock.run(21.0)
        self.assertEqual(set(), target.codes("quiet"))
        self.assertTrue(target.codes("noisy"))
        waits = sorted(
            entry.started - entry.queued
            for entry in target.started
            if entry.account == "quiet"
        )
        # A request waits for at most one running request on some slot.
        self.assertLess(waits[round(0.99 * (len(waits) - 1))], 0.03)


class BoundTest(unittest.TestCase):
    """Guards against unbounded queues and queued requests that expired."""

    def test_limit_per_account(self):
        target = _Target(slots=1, max_per_account=4)
        for _ in range(8):
            target.submit("a")
        self.assertEqual(
            ["queue_full"] * 3, [e.code for _, e in target.refused]
        )
        target.submit("b")
        self.assertEqual(3, len(target.refused))

    def test_full_queue_rejects_newest_of_longest_backlog(self):
        target = _Target(slots=1, max_queued=4, max_per_account=8)
        entries = [target.submit("a") for _ in range(5)]
        other = target.submit("b")
        self.assertEqual([entries[-1]], [entry for entry, _ in target.refused])
        target.clock.run(1.0)
        self.assertIn(other, target.started)

    def test_deadline(self):
        target = _Target(slots=1, seconds=10.0)
        first = target.submit("a", timeout=0.5)
        target.submit("a", timeout=0.5)
        target.clock.run(1.0)
        # A running request is not rejected, however late it is.
        self.assertEqual([first], target.started)
        (entry, error) = target.refused[0]
        self.assertIsInstance(error, errors.DeadlineExceededError)
        self.assertIs(errors.Executed.NO, error.executed)

    def test_standing_queue_serves_newest_first_and_sheds(self):
        target = _Target(slots=1, seconds=0.05)
        target.load("a", 60.0, 10.0, random.Random(1))
        target.clock.run(10.0)
        self.assertIn("queue_delay", target.codes("a"))
        waits = [
            entry.started - entry.queued
            for entry in target.started
            if entry.started > 2.0
        ]
        self.assertLess(max(waits), fairqueue.TARGET_DELAY_SECONDS + 0.06)

    def test_short_burst_is_not_shed(self):
        target = _Target(slots=1, seconds=0.02)
        for _ in range(20):
            target.submit("a")
        target.clock.run(1.0)
        self.assertEqual([], target.refused)

    def test_cancelled_request_does_not_run(self):
        target = _Target(slots=1)
        target.submit("a")
        gone = target.submit("a")
        target.queue.cancel(gone, 0.0)
        target.clock.run(1.0)
        self.assertNotIn(gone, target.started)
