"""Tests of the circuit breaker of a target."""

import unittest

from parameterized import parameterized

from cicadafront.health import target_breaker

OBJECTIVE = 1.0
USUAL = OBJECTIVE * target_breaker.PRIOR_SHARE
TRUSTED = target_breaker.BreakerState.TRUSTED
DOUBTED = target_breaker.BreakerState.DOUBTED
SUSPENDED = target_breaker.BreakerState.SUSPENDED


class CircuitBreakerTest(unittest.TestCase):
    """Guards against a gray target that keeps getting requests.

    At a low request rate, failures are too few for a rate, and requests that
    hang are not reported before their deadline.
    """

    def setUp(self):
        self.breaker = target_breaker.CircuitBreaker(
            target_breaker.ExpectedLatency()
        )

    def start(self, now):
        """Starts one request."""
        return self.breaker.start(now, OBJECTIVE)

    def stall(self, now, count):
        """Starts requests that do not end."""
        return [self.start(now) for _ in range(count)]

    @parameterized.expand(
        [
            ("young", 1, 0.5 * target_breaker.LATE_FACTOR * USUAL, TRUSTED),
            ("one_late", 1, 1.1 * target_breaker.LATE_FACTOR * USUAL, DOUBTED),
            (
                "one_stalled",
                1,
                1.1 * target_breaker.STALL_FACTOR * USUAL,
                DOUBTED,
            ),
            (
                "two_stalled",
                2,
                1.1 * target_breaker.STALL_FACTOR * USUAL,
                SUSPENDED,
            ),
        ]
    )
    def test_age_of_running_requests(self, _name, count, age, expected):
        self.stall(0.0, count)
        self.assertIs(self.breaker.state(age), expected)

    def test_one_long_request_among_successes(self):
        self.start(0.0)
        late = 1.1 * target_breaker.LATE_FACTOR * USUAL
        self.breaker.succeeded(late - 0.1, self.start(late - 0.3))
        self.assertIs(self.breaker.state(late), TRUSTED)

    @parameterized.expand([(1, DOUBTED), (2, SUSPENDED), (3, SUSPENDED)])
    def test_consecutive_failures(self, count, expected):
        for number in range(count):
            now = 0.01 * number
            self.breaker.failed(now, self.start(now), "status_500")
        self.assertIs(self.breaker.state(0.01 * count), expected)

    @parameterized.expand([(1, DOUBTED), (2, DOUBTED), (4, SUSPENDED)])
    def test_consecutive_refusals(self, count, expected):
        for number in range(count):
            now = 0.01 * number
            self.breaker.shed(now, self.start(now))
        self.assertIs(self.breaker.state(0.01 * count), expected)

    def test_single_failures_among_successes(self):
        for number in range(100):
            now = 0.1 * number
            run = self.start(now)
            if number % 20 == 0:
                self.breaker.failed(now, run, "status_500")
            else:
                self.breaker.succeeded(now + 0.05, run)
            self.assertIsNot(self.breaker.state(now + 0.06), SUSPENDED)

    @parameterized.expand([("cancelled_late",), ("deadline",)])
    def test_late_requests_that_were_cut_short(self, reason):
        for run in self.stall(0.0, 2):
            self.breaker.cut_short(
                1.1 * target_breaker.STALL_FACTOR * USUAL, run, reason
            )
        self.assertTrue(self.breaker.suspended)
        self.assertEqual(self.breaker.reasons, {reason: 2})

    def test_requests_that_were_cut_short_in_time(self):
        for run in self.stall(0.0, 9):
            self.breaker.cut_short(0.01, run, "deadline")
        self.assertIs(self.breaker.state(0.02), TRUSTED)

    def test_trial_that_was_cut_short_is_repeated(self):
        for run in self.stall(0.0, 2):
            self.breaker.failed(0.0, run, "closed")
        now = target_breaker.MIN_TRIAL_DELAY_SECONDS
        trial = self.start(now)
        self.assertFalse(self.breaker.allows_trial(now))
        self.breaker.cut_short(now + 0.01, trial, "deadline")
        self.assertTrue(self.breaker.allows_trial(now + 0.01))
        self.assertTrue(self.breaker.suspended)

    @parameterized.expand([("idle", False, True), ("busy", True, False)])
    def test_doubted_target_gets_a_trial(self, _name, busy, expected):
        self.breaker.failed(0.0, self.start(0.0), "closed")
        now = target_breaker.MIN_TRIAL_DELAY_SECONDS
        self.assertIs(self.breaker.state(now), DOUBTED)
        self.assertFalse(self.breaker.allows_trial(now - 0.1))
        if busy:
            self.start(0.0)
        self.assertEqual(self.breaker.allows_trial(now), expected)

    def test_trials_end_a_suspension(self):
        for run in self.stall(0.0, 2):
            self.breaker.failed(0.0, run, "closed")
        self.assertFalse(self.breaker.allows_trial(0.5))
        now = target_breaker.MIN_TRIAL_DELAY_SECONDS
        for _ in range(target_breaker.TRIALS_REQUIRED):
            self.assertTrue(self.breaker.allows_trial(now))
            self.breaker.succeeded(now + 0.1, self.start(now))
            now += 0.2
        self.assertIs(self.breaker.state(now), TRUSTED)

    def test_failed_trials_increase_the_delay(self):
        for run in self.stall(0.0, 2):
            self.breaker.failed(0.0, run, "closed")
        now, waits = 0.0, []
        for _ in range(4):
            began = now
            while not self.breaker.allows_trial(now):
                now += 0.1
            waits.append(round(now - began, 1))
            self.breaker.failed(now, self.start(now), "closed")
        self.assertEqual(waits, sorted(waits))
        self.assertLessEqual(
            waits[-1], target_breaker.MAX_TRIAL_DELAY_SECONDS + 0.1
        )

    def test_one_trial_at_a_time(self):
        for run in self.stall(0.0, 2):
            self.breaker.failed(0.0, run, "closed")
        now = target_breaker.MIN_TRIAL_DELAY_SECONDS
        self.start(now)
        self.assertFalse(self.breaker.allows_trial(now + 0.01))

    def test_expected_latency_is_learned(self):
        usual = target_breaker.ExpectedLatency()
        for _ in range(100):
            usual.observe(OBJECTIVE, 0.1)
        self.assertAlmostEqual(usual.seconds(OBJECTIVE), 0.1, places=3)
        self.assertEqual(usual.seconds(2.0), 2.0 * target_breaker.PRIOR_SHARE)
