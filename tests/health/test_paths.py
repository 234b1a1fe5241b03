"""Tests of the path monitor."""

import random
import unittest

from cicadafront.health import paths


class PathsTest(unittest.TestCase):
    """Guards against requests that are sent over failed links.

    A link may stop delivering frames without being closed, or deliver them in
    one direction only.
    """

    def setUp(self):
        self.failed = []
        self.paths = paths.Paths(random.Random(1), self.failed.append)

    def _run(self, start, end):
        found = []
        step = 0
        while start + 0.05 * step < end:
            now = start + 0.05 * step
            found += [(now, a) for a in self.paths.tick(now)]
            step += 1
        return found

    def test_unresponsive_link_is_avoided_within_a_second_then_closed(self):
        self.paths.opened(100.0, "b")
        self.paths.stream_opened(100.0, "b")
        actions = self._run(100.0, 100.9)
        self.assertEqual([paths.Ping("b")], [a for _, a in actions])
        self.assertFalse(self.paths.usable(100.9, "b"))
        self.assertTrue(self.paths.usable(100.9, "c"))
        actions = self._run(100.9, 102.2)
        self.assertEqual([paths.Close("b")], [a for _, a in actions])

    def test_idle_link_stays_usable(self):
        self.paths.opened(100.0, "b")
        self.assertEqual([], self._run(100.0, 110.0))
        self.assertTrue(self.paths.usable(110.0, "b"))

    def test_received_frame_restores_the_path(self):
        self.paths.stream_opened(100.0, "b")
        self._run(100.0, 101.0)
        self.paths.frame_received(101.0, "b")
        self.assertTrue(self.paths.usable(101.0, "b"))

    def test_backoff_of_failed_connections_grows_to_30_s(self):
        now = 100.0
        waits = []
        for _ in range(8):
            self.paths.open_failed(now, "b")
            start = now
            while not self.paths.usable(now, "b"):
                now += 0.1
            waits.append(now - start)
        self.assertLess(waits[0], 1.4)
        self.assertGreater(waits[-1], 20.0)
        self.assertLess(waits[-1], 37.0)

    def test_report_of_one_way_failure(self):
        self.paths.one_way_reported(100.0, "b")
        self.assertFalse(self.paths.usable(105.0, "b"))
        self.assertEqual(["b"], self.failed)
        self.paths.frame_received(105.0, "b")
        self.assertFalse(self.paths.usable(105.0, "b"))
        self.paths.one_way_cleared(106.0, "b")
        self.assertTrue(self.paths.usable(106.0, "b"))
