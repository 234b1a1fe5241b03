"""Tests of the explain command."""

import pathlib
import tempfile
import unittest

from cleo.testers import command_tester

from cicadafront.cli import base, explain, main
from tests.telemetry import test_request_report


class ExplainTest(unittest.TestCase):
    """Guards against a command that ignores unreadable input silently.

    Lines without JSON, unknown requests and missing files must be reported.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "n1.log"
        lines = [
            test_request_report.failed(),
            "no JSON",
            test_request_report.SUSPENDED,
        ]
        self.path.write_text("\n".join(lines))
        command = main.build().find("explain")
        self.assertIsInstance(command, explain.ExplainCommand)
        self.tester = command_tester.CommandTester(command)

    def run_command(self, arguments):
        """Runs the command and returns its exit code."""
        return self.tester.execute(arguments)

    def test_request_report(self):
        code = self.run_command(f"r1 {self.path}")
        self.assertEqual(code, base.Exit.OK)
        self.assertIn(
            "gate: a target is suspended.", self.tester.io.fetch_output()
        )
        self.assertIn("1 lines are not log lines", self.tester.io.fetch_error())

    def test_unknown_request(self):
        code = self.run_command(f"r9 {self.path}")
        self.assertEqual(code, base.Exit.NOT_FOUND)
        self.assertIn("names request r9", self.tester.io.fetch_error())

    def test_missing_file(self):
        code = self.run_command(f"r1 {self.path}.gone")
        self.assertEqual(code, base.Exit.INVALID)
        self.assertIn("specify a log file", self.tester.io.fetch_error())
