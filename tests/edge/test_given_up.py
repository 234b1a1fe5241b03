"""Tests of the log line of requests that end without an answer."""

import unittest

import eliot
from parameterized import parameterized

from cicadafront.telemetry import story
from tests.support import memory
from tests.support.edge import GET, KEYED, Edge


class GivenUpTest(unittest.TestCase):
    """Guards against lost requests whose log does not say where they stood."""

    def setUp(self):
        self.lines = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    @parameterized.expand(
        [
            ("waits for its rate", KEYED, True, "admitting", []),
            ("at a target", GET, False, "running", ["may_run"]),
        ]
    )
    def test_place(self, _name, request, held, phase, places):
        admission = memory.Admission()
        admission.hold = held
        edge = Edge(admission=admission)
        edge.receive(request)
        edge.connection.abort()
        line = next(x for x in self.lines if x.get("text") == story.REQUEST)
        self.assertEqual(line["phase"], phase)
        found = [standing.split()[1] for standing in line["standing"]]
        self.assertEqual(found, places)


if __name__ == "__main__":
    unittest.main()
