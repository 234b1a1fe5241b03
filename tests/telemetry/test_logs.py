"""Tests of the rate limiter and the non-blocking pipe of the log."""

import os
import unittest

from cicadafront.telemetry import logs


class LineLimiterTest(unittest.TestCase):
    """Guards against a log volume that grows with the request rate.

    A fault can affect every request, and each of them logs a line.
    """

    def setUp(self):
        self.now = 0.0
        self.limiter = logs.LineLimiter(lambda: self.now)

    def test_flood_of_lines_is_limited(self):
        written = 0
        for number in range(100_000):
            self.now = number / 10_000
            written += self.limiter.take(f"text {number % 10}") is not None
        bound = 10 * (logs.LINES_BURST + 10 * logs.LINES_PER_SECOND)
        self.assertLessEqual(written, bound)
        self.assertEqual(written + self.limiter.dropped, 100_000)

    def test_suppressed_lines_are_reported(self):
        while self.limiter.take("a") is not None:
            pass
        self.limiter.take("a")
        self.now = 1.0
        self.assertEqual(self.limiter.take("a"), 2)
        self.assertEqual(self.limiter.take("a"), 0)

    def test_unbounded_texts_share_a_limit(self):
        written = sum(
            self.limiter.take(f"text {number}") is not None
            for number in range(10_000)
        )
        bound = logs.MAX_TEXTS + logs.LINES_BURST
        self.assertLessEqual(written, bound)


class PipeTest(unittest.TestCase):
    """Guards against a log reader that blocks the process.

    A write to a full pipe would block until the reader reads again.
    """

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        self.pipe = logs.Pipe(self.writer)

    def test_full_pipe_drops_lines(self):
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

    def test_lines_are_not_split(self):
        for number in range(3000):
            self.pipe.write(b"%06d" % number + b"x" * 100 + b"\n")
            if number % 700 == 0:
                os.read(self.reader, 1 << 20)
        data = os.read(self.reader, 1 << 20)
        lines = data.split(b"\n")[1:-1]
        self.assertEqual({len(line) for line in lines}, {106})
        os.close(self.reader)

    def test_closed_pipe_drops_lines(self):
        os.close(self.reader)
        self.pipe.write(b"x\n")
        self.assertEqual(self.pipe.dropped, 1)
