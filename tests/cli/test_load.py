"""Tests of the load command."""

import unittest
from unittest import mock

from cleo.testers.command_tester import CommandTester
from parameterized import parameterized

from cicadafront.cli import load as cli_load
from cicadafront.cli import main
from cicadafront.emulator import load


def _run(arguments):
    report = load.AccountReport("riders", sent=3)
    report.codes.update({"ok": 2, "rate_exceeded": 1})
    report.latency.record_value(5_000)
    tester = CommandTester(main.build().find("load"))
    with mock.patch.object(cli_load.loop, "call") as call:
        call.return_value = [report]
        status = tester.execute(arguments)
    return status, tester.io.fetch_output()


class LoadCommandTest(unittest.TestCase):
    """Guards against load for the wrong account or no load at all."""

    def test_report(self):
        status, output = _run(
            "--entry http://127.0.0.1:8080 --account riders=cf_a_b@50"
        )
        self.assertEqual(status, 0)
        self.assertIn("rate_exceeded", output)

    @parameterized.expand(
        [
            ("no entry", "--account riders=cf_a_b@50"),
            ("no account", "--entry http://127.0.0.1:8080"),
            ("no rate", "--entry http://h --account riders=cf_a_b"),
            ("rate zero", "--entry http://h --account riders=cf_a_b@0"),
        ]
    )
    def test_usage_error(self, _name, arguments):
        status, _ = _run(arguments)
        self.assertEqual(status, 1)
