"""Tests of the loops that a process repeats."""

import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors, loops

PACE = loops.Timing(
    interval=1.0, timeout=2.0, initial_backoff=0.2, max_backoff=3.0
)


class LoopTest(unittest.TestCase):
    """Guards against loops that end with what their source does."""

    def setUp(self):
        self.clock = task.Clock()
        self.loops = loops.Loops(self.clock, random.Random(1))
        self.runs = []
        self.answer = lambda: None

    def loop(self, pace=PACE):
        """Returns a loop that does what `answer` says."""

        def run():
            self.runs.append(self.clock.seconds())
            return self.answer()

        return self.loops.add("task", run, pace)

    def run_for(self, seconds):
        """Lets time pass."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def test_interval(self):
        self.loop().start()
        self.run_for(5.2)
        self.assertEqual(len(self.runs), 6)

    def test_first(self):
        self.loop(loops.Timing(1.0, 2.0, first=3.0)).start()
        self.run_for(2.9)
        self.assertEqual(self.runs, [])
        self.run_for(0.2)
        self.assertEqual(len(self.runs), 1)

    def test_run_chooses_the_pause(self):
        self.answer = lambda: 0.25
        self.loop().start()
        self.run_for(1.1)
        self.assertEqual(len(self.runs), 5)

    def test_run_without_pause_leaves_the_clock_running(self):
        self.answer = lambda: 0.0
        self.loop().start()
        self.run_for(1)
        self.assertLessEqual(len(self.runs), 21)

    @parameterized.expand(
        [
            ("raises", lambda: 1 / 0, True),
            ("known", lambda: defer.fail(errors.GivenUpError("x")), True),
            ("fails", lambda: defer.fail(OverflowError("x")), True),
            ("recurses", lambda: defer.fail(RecursionError("x")), True),
            ("cancelled", lambda: defer.fail(defer.CancelledError()), True),
            ("hangs", defer.Deferred, False),
            ("stubborn", lambda: defer.Deferred(lambda _: None), False),
        ]
    )
    def test_goes_on(self, _name, answer, at_once):
        loop = self.loop()
        self.answer = answer
        loop.start()
        self.run_for(20)
        # Pauses grow to 3 s; a run that hangs takes 2 s besides.
        self.assertGreaterEqual(len(self.runs), 4)
        self.assertLessEqual(len(self.runs), 12)
        self.assertGreaterEqual(loop.failures, 4)
        self.assertEqual(loop.given_up, 0 if at_once else loop.failures)
        self.answer = lambda: None
        self.run_for(6)
        self.runs.clear()
        self.run_for(5)
        self.assertEqual(len(self.runs), 5)

    def test_late_answer_of_a_run_that_was_given_up(self):
        hung = defer.Deferred(lambda _: None)
        self.answer = lambda: hung
        loop = self.loop()
        loop.start()
        self.run_for(2.1)
        self.answer = lambda: None
        self.run_for(0.3)
        before = len(self.runs)
        if not hung.called:
            hung.callback(0.0)
        self.run_for(0.5)
        self.assertEqual(len(self.runs), before)

    def test_stalled(self):
        loop = self.loop()
        loop.start()
        self.run_for(10)
        self.assertEqual(self.loops.stalled(), [])
        self.answer = lambda: 1 / 0
        self.run_for(PACE.interval + PACE.timeout + 1)
        self.assertEqual(self.loops.stalled(), ["task"])
        self.assertGreater(self.loops.failures()["task"], 1)
        self.answer = lambda: None
        self.run_for(PACE.max_backoff)
        self.assertEqual(self.loops.stalled(), [])
        loop.stop()
        self.run_for(10)
        self.assertEqual(self.loops.stalled(), [])

    def test_stop(self):
        hung = defer.Deferred()
        self.answer = lambda: hung
        loop = self.loop()
        loop.start()
        loop.stop()
        self.run_for(10)
        self.assertEqual(len(self.runs), 1)
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_wake(self):
        loop = self.loop()
        loop.start()
        loop.wake(0.1)
        self.run_for(0.2)
        self.assertEqual(len(self.runs), 2)

    def test_wake_during_a_run(self):
        waiting = defer.Deferred()
        self.answer = lambda: waiting
        loop = self.loop()
        loop.start()
        loop.wake()
        self.run_for(0.5)
        self.answer = lambda: None
        waiting.callback(None)
        self.run_for(0.1)
        self.assertEqual(len(self.runs), 2)

    def test_wake_does_not_delay(self):
        loop = self.loop()
        loop.start()
        self.run_for(0.8)
        loop.wake(5.0)
        self.run_for(0.3)
        self.assertEqual(len(self.runs), 2)
