"""Tests of the judgement of a target by few requests."""

import unittest

from parameterized import parameterized

from cicadafront.health import spells

OBJECTIVE = 1.0
USUAL = OBJECTIVE * spells.PRIOR_SHARE
TRUSTED = spells.Standing.TRUSTED
DOUBTED = spells.Standing.DOUBTED
SUSPENDED = spells.Standing.SUSPENDED


class SpellTest(unittest.TestCase):
    """Guards against a gray target that keeps getting work."""

    def setUp(self):
        self.spell = spells.Spell(spells.Usual())

    def start(self, now):
        """Starts one request."""
        return self.spell.start(now, OBJECTIVE)

    def stall(self, now, count):
        """Starts requests that never end."""
        return [self.start(now) for _ in range(count)]

    @parameterized.expand(
        [
            ("young", 1, 0.5 * spells.LATE * USUAL, TRUSTED),
            ("one_late", 1, 1.1 * spells.LATE * USUAL, DOUBTED),
            ("one_stalled", 1, 1.1 * spells.STALLED * USUAL, DOUBTED),
            ("two_stalled", 2, 1.1 * spells.STALLED * USUAL, SUSPENDED),
        ]
    )
    def test_age_of_running_requests(self, _name, count, age, expected):
        self.stall(0.0, count)
        self.assertIs(self.spell.standing(age), expected)

    def test_one_long_request_beside_good_ones(self):
        self.start(0.0)
        late = 1.1 * spells.LATE * USUAL
        self.spell.good(late - 0.1, self.start(late - 0.3))
        self.assertIs(self.spell.standing(late), TRUSTED)

    @parameterized.expand([(1, DOUBTED), (2, SUSPENDED), (3, SUSPENDED)])
    def test_failures_in_a_row(self, count, expected):
        for number in range(count):
            now = 0.01 * number
            self.spell.bad(now, self.start(now), "status_500")
        self.assertIs(self.spell.standing(0.01 * count), expected)

    @parameterized.expand([(1, DOUBTED), (2, DOUBTED), (4, SUSPENDED)])
    def test_target_that_refuses_in_a_row(self, count, expected):
        for number in range(count):
            now = 0.01 * number
            self.spell.shed(now, self.start(now))
        self.assertIs(self.spell.standing(0.01 * count), expected)

    def test_single_failures_among_good_ones(self):
        for number in range(100):
            now = 0.1 * number
            run = self.start(now)
            if number % 20 == 0:
                self.spell.bad(now, run, "status_500")
            else:
                self.spell.good(now + 0.05, run)
            self.assertIsNot(self.spell.standing(now + 0.06), SUSPENDED)

    def test_cancelled_request_that_was_late(self):
        for run in self.stall(0.0, 2):
            self.spell.gave_up(1.1 * spells.STALLED * USUAL, run)
        self.assertTrue(self.spell.suspended)

    def test_cancelled_request_that_was_not_late(self):
        for run in self.stall(0.0, 9):
            self.spell.gave_up(0.01, run)
        self.assertIs(self.spell.standing(0.02), TRUSTED)

    def test_trials_end_a_suspension(self):
        for run in self.stall(0.0, 2):
            self.spell.bad(0.0, run, "closed")
        self.assertFalse(self.spell.takes_trial(0.5))
        now = spells.FIRST_TRIAL_SECONDS
        for _ in range(spells.TRIALS_PASSED):
            self.assertTrue(self.spell.takes_trial(now))
            self.spell.good(now + 0.1, self.start(now))
            now += 0.2
        self.assertIs(self.spell.standing(now), TRUSTED)

    def test_failed_trials_come_later_and_later(self):
        for run in self.stall(0.0, 2):
            self.spell.bad(0.0, run, "closed")
        now, waits = 0.0, []
        for _ in range(4):
            began = now
            while not self.spell.takes_trial(now):
                now += 0.1
            waits.append(round(now - began, 1))
            self.spell.bad(now, self.start(now), "closed")
        self.assertEqual(waits, sorted(waits))
        self.assertLessEqual(waits[-1], spells.LAST_TRIAL_SECONDS + 0.1)

    def test_one_trial_at_a_time(self):
        for run in self.stall(0.0, 2):
            self.spell.bad(0.0, run, "closed")
        now = spells.FIRST_TRIAL_SECONDS
        self.start(now)
        self.assertFalse(self.spell.takes_trial(now + 0.01))

    def test_usual_time_is_learned(self):
        usual = spells.Usual()
        for _ in range(100):
            usual.observe(OBJECTIVE, 0.1)
        self.assertAlmostEqual(usual.seconds(OBJECTIVE), 0.1, places=3)
        self.assertEqual(usual.seconds(2.0), 2.0 * spells.PRIOR_SHARE)
