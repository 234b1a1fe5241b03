"""Tests of the log line of requests that end without a response."""

import unittest
from unittest import mock

import eliot
from parameterized import parameterized

from cicadafront.telemetry import logs, request_report
from tests.support import memory
from tests.support.edge import GET, KEYED, Edge


class GivenUpTest(unittest.TestCase):
    """Guards against log lines of cancelled requests without their state."""

    def setUp(self):
        self.lines = []
        destination = self.lines.append
        eliot.add_destinations(destination)
        self.addCleanup(eliot.remove_destination, destination)
        # eliot delivers the lines of earlier tests to a new destination, and
        # these lines may have used up the log budget of this text.
        self.lines.clear()
        budgets = mock.patch.object(logs, "LINE_LIMITER", logs.LineLimiter())
        budgets.start()
        self.addCleanup(budgets.stop)

    @parameterized.expand(
        [
            ("waits for its rate", KEYED, True, "admitting", []),
            ("at a target", GET, False, "running", ["may_run"]),
        ]
    )
    def test_state_is_logged(self, _name, request, held, phase, places):
        admission = memory.Admission()
        admission.hold = held
        edge = Edge(admission=admission)
        edge.receive(request)
        edge.connection.abort()
        line = next(
            x for x in self.lines if x.get("text") == request_report.REQUEST
        )
        self.assertEqual(line["phase"], phase)
        found = [standing.split()[1] for standing in line["standing"]]
        self.assertEqual(found, places)


if __name__ == "__main__":
    unittest.main()
