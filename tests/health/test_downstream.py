"""Tests of the tracking of requests that local targets send."""

import unittest

from parameterized import parameterized

from cicadafront.health import downstream

OBJECTIVE = 0.5


class DownstreamRequestsTest(unittest.TestCase):
    """Guards against targets that are blamed for what they depend on."""

    def setUp(self):
        self.requests = downstream.DownstreamRequests()

    def _run(self, *spans, served=True, objective=OBJECTIVE):
        """Plays requests, given by their start and end times in seconds."""
        begun = {}
        events = [(span[0], 1, span) for span in spans]
        events += [(span[1], 0, span) for span in spans]
        for now, starts, span in sorted(events):
            if starts:
                begun[span] = self.requests.begin(now, objective)
            else:
                self.requests.end(now, begun[span], served)

    @parameterized.expand(
        [
            ("in time", [(0.0, 0.5)], 0.0),
            ("late", [(0.0, 1.5)], 1.0),
            ("one after the other", [(0.0, 1.0), (2.0, 3.0)], 1.0),
            ("overlapping", [(0.0, 2.0), (0.5, 3.0)], 2.5),
            ("one within another", [(0.0, 3.0), (0.5, 2.0)], 2.5),
            ("ends in turn", [(0.0, 2.0), (1.0, 4.0), (3.0, 3.6)], 3.5),
        ]
    )
    def test_late_seconds(self, _name, spans, expected):
        self._run(*spans)
        self.assertAlmostEqual(self.requests.late_seconds(9.0), expected)

    def test_late_seconds_of_an_open_request(self):
        self.requests.begin(0.0, OBJECTIVE)
        self.assertAlmostEqual(self.requests.late_seconds(0.4), 0.0)
        self.assertAlmostEqual(self.requests.late_seconds(2.0), 1.5)

    def test_request_without_objective_is_never_late(self):
        self._run((0.0, 9.0), objective=0.0)
        self.requests.begin(0.0, 0.0)
        self.assertEqual(self.requests.late_seconds(99.0), 0.0)

    @parameterized.expand(
        [
            ("failed during the run", (1.0, 1.1), False, 0.5, True),
            ("served", (1.0, 1.1), True, 0.5, False),
            ("sent before the run", (1.0, 1.1), False, 1.05, False),
        ]
    )
    def test_explained_failure(self, _name, span, served, since, expected):
        self._run(span, served=served)
        self.assertEqual(self.requests.explains_failure(1.2, since), expected)
        # One failed request explains one server error.
        self.assertFalse(self.requests.explains_failure(1.2, since))

    @parameterized.expand([("in time", 0.4, False), ("late", 0.6, True)])
    def test_open_request_explains_a_failure_when_late(
        self, _name, age, expected
    ):
        self.requests.begin(1.0, OBJECTIVE)
        self.assertEqual(
            self.requests.explains_failure(1.0 + age, 0.5), expected
        )
