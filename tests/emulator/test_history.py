"""Tests of the history checker with one violation each."""

import unittest

import attrs
from parameterized import parameterized

from cicadafront.emulator import history

COMPLETE = history.Call(
    "r1", "s1", "amani", False, history.Outcome.COMPLETE, answer_digest="d1"
)
REFUSED = history.Call(
    "r1", "s2", "amani", False, history.Outcome.REFUSED, executed="no"
)
RUN = history.Execution("t1", "r1", "s1", "amani", "d1")


class CheckerTest(unittest.TestCase):
    """Guards against a checker that misses a violation or reports a false one.

    Every process test relies on this checker, so a rule that never matches
    would let all of them pass.
    """

    @parameterized.expand(
        [
            ("clean", [COMPLETE], [RUN], []),
            ("clean refusal", [COMPLETE, REFUSED], [RUN], []),
            ("run without a call", [], [RUN], ["origin"]),
            (
                "other account",
                [COMPLETE],
                [attrs.evolve(RUN, account="pendo")],
                ["account"],
            ),
            ("ran twice", [COMPLETE], [RUN, RUN], ["once"]),
            (
                "repeatable ran twice",
                [attrs.evolve(COMPLETE, repeatable=True)],
                [RUN, RUN],
                [],
            ),
            (
                "refused as not executed but ran",
                [REFUSED],
                [attrs.evolve(RUN, send="s2")],
                ["not run"],
            ),
            (
                "unknown execution is allowed",
                [attrs.evolve(REFUSED, executed="unknown")],
                [attrs.evolve(RUN, send="s2")],
                [],
            ),
            (
                "response of another run",
                [attrs.evolve(COMPLETE, answer_digest="d2")],
                [RUN],
                ["answer"],
            ),
            ("response without a run", [COMPLETE], [], ["answer"]),
        ]
    )
    def test_check(self, _name, calls, runs, expected):
        found = history.check(calls, runs)
        self.assertEqual([violation.rule for violation in found], expected)
