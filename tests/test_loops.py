"""Tests of periodic tasks."""

import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors, loops

TIMING = loops.Timing(
    interval=1.0, timeout=2.0, initial_backoff=0.2, max_backoff=3.0
)


class LoopTest(unittest.TestCase):
    """Guards against a loop that stops when a run fails or hangs.

    A run can raise, return a failed Deferred or never finish. The loop has to
    start further runs after a backoff, and within the interval once runs
    succeed again.
    """

    def setUp(self):
        self.clock = task.Clock()
        self.loops = loops.Loops(self.clock, random.Random(1))
        self.runs = []
        self.run_task = lambda: None

    def loop(self, timing=TIMING):
        """Returns a loop whose runs call `run_task`."""

        def run():
            self.runs.append(self.clock.seconds())
            return self.run_task()

        return self.loops.add("task", run, timing)

    def run_for(self, seconds):
        """Advances the clock in small steps."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def test_interval(self):
        self.loop().start()
        self.run_for(5.2)
        self.assertEqual(len(self.runs), 6)

    def test_initial_delay(self):
        self.loop(loops.Timing(1.0, 2.0, first=3.0)).start()
        self.run_for(2.9)
        self.assertEqual(self.runs, [])
        self.run_for(0.2)
        self.assertEqual(len(self.runs), 1)

    def test_run_returns_the_pause(self):
        self.run_task = lambda: 0.25
        self.loop().start()
        self.run_for(1.1)
        self.assertEqual(len(self.runs), 5)

    def test_minimum_pause(self):
        self.run_task = lambda: 0.0
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
            ("ignores_cancel", lambda: defer.Deferred(lambda _: None), False),
        ]
    )
    def test_continues_after_failures(self, _name, run_task, at_once):
        loop = self.loop()
        self.run_task = run_task
        loop.start()
        self.run_for(20)
        # Pauses grow to 3 s. A run that hangs takes another 2 s to time out.
        self.assertGreaterEqual(len(self.runs), 4)
        self.assertLessEqual(len(self.runs), 12)
        self.assertGreaterEqual(loop.failures, 4)
        self.assertEqual(loop.given_up, 0 if at_once else loop.failures)
        self.run_task = lambda: None
        self.run_for(6)
        self.runs.clear()
        self.run_for(5)
        self.assertEqual(len(self.runs), 5)

    def test_late_result_of_a_timed_out_run_is_ignored(self):
        hung = defer.Deferred(lambda _: None)
        self.run_task = lambda: hung
        loop = self.loop()
        loop.start()
        self.run_for(2.1)
        self.run_task = lambda: None
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
        self.run_task = lambda: 1 / 0
        self.run_for(TIMING.interval + TIMING.timeout + 1)
        self.assertEqual(self.loops.stalled(), ["task"])
        self.assertGreater(self.loops.failures()["task"], 1)
        self.run_task = lambda: None
        self.run_for(TIMING.max_backoff)
        self.assertEqual(self.loops.stalled(), [])
        loop.stop()
        self.run_for(10)
        self.assertEqual(self.loops.stalled(), [])

    def test_stop(self):
        hung = defer.Deferred()
        self.run_task = lambda: hung
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
        self.run_task = lambda: waiting
        loop = self.loop()
        loop.start()
        loop.wake()
        self.run_for(0.5)
        self.run_task = lambda: None
        waiting.callback(None)
        self.run_for(0.1)
        self.assertEqual(len(self.runs), 2)

    def test_wake_does_not_postpone_the_next_run(self):
        loop = self.loop()
        loop.start()
        self.run_for(0.8)
        loop.wake(5.0)
        self.run_for(0.3)
        self.assertEqual(len(self.runs), 2)
