"""Tests of the bounds of the log."""

import os
import unittest

from cicadafront.telemetry import logs


class BudgetTest(unittest.TestCase):
    """Guards against a log that grows with the load."""

    def setUp(self):
        self.now = 0.0
        self.budgets = logs.LineLimiter(lambda: self.now)

    def test_flood_of_every_kind(self):
        written = 0
        for number in range(100_000):
            self.now = number / 10_000
            written += self.budgets.take(f"text {number % 10}") is not None
        bound = 10 * (logs.LINES_AT_ONCE + 10 * logs.LINES_PER_SECOND)
        self.assertLessEqual(written, bound)
        self.assertEqual(written + self.budgets.dropped, 100_000)

    def test_suppressed_lines_are_reported(self):
        while self.budgets.take("a") is not None:
            pass
        self.budgets.take("a")
        self.now = 1.0
        self.assertEqual(self.budgets.take("a"), 2)
        self.assertEqual(self.budgets.take("a"), 0)

    def test_texts_without_bound_share_a_budget(self):
        written = sum(
            self.budgets.take(f"text {number}") is not None
            for number in range(10_000)
        )
        bound = logs.MAX_TEXTS + logs.LINES_AT_ONCE
        self.assertLessEqual(written, bound)


class PipeTest(unittest.TestCase):
    """Guards against a reader that stops the requests."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        self.pipe = logs.Pipe(self.writer)

    def test_reader_that_does_not_read(self):
        for _ in range(1000):
            self.pipe.write(b"x" * 1000 + b"\n")
        self.assertGreater(self.pipe.dropped, 900)
        os.read(self.reader, 1 << 20)
        dropped = self.pipe.dropped
        self.pipe.write(b"after\n")
        self.assertEqual(self.pipe.dropped, dropped)
        rest = os.read(self.reader, 1 << 20)
        self.assertTrue(rest.endswith(b"after\n"))
        os.close(self.reader)

    def test_lines_stay_whole(self):
        for number in range(3000):
            self.pipe.write(b"%06d" % number + b"x" * 100 + b"\n")
            if number % 700 == 0:
                os.read(self.reader, 1 << 20)
        data = os.read(self.reader, 1 << 20)
        lines = data.split(b"\n")[1:-1]
        self.assertEqual({len(line) for line in lines}, {106})
        os.close(self.reader)

    def test_reader_that_is_gone(self):
        os.close(self.reader)
        self.pipe.write(b"x\n")
        self.assertEqual(self.pipe.dropped, 1)
