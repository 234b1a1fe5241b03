"""Tests of the errors of refused requests."""

import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors
from cicadafront.config import model
from cicadafront.limits import admission

ACCOUNT = model.ClientAccount("amani", 10, 20)


class _Ownership:
    def __init__(self):
        self.parts = []

    def acts(self, shard):
        return None


class _Peers:
    def register(self, method, handler):
        pass


class _Owners:
    """Answers each credit request with an empty grant, or fails the call."""

    me = "dar-a-1"

    def __init__(self, clock, answers):
        self.clock = clock
        self.answers = answers

    def call(self, shard, method, body, timeout, attempt_timeout):
        if not self.answers:
            return defer.fail(errors.CallFailedError("no answer"))
        grant = [1, 1, 0, 1.0, False, 2.0]
        return defer.succeed(({"grant": grant}, self.clock.seconds()))


class RefusalTest(unittest.TestCase):
    """A request refused because the owner does not answer gets a 503.

    Guards against a 429, which would tell the caller that it exceeded its rate.
    """

    @parameterized.expand(
        [("owner refuses", True, 429), ("owner is lost", False, 503)]
    )
    def test_status(self, _name, answers, status):
        clock = task.Clock()
        service = admission.AdmissionService(
            _Ownership(),
            _Owners(clock, answers),
            _Peers(),
            clock,
            lambda id: ACCOUNT,
        )
        failures = []
        service.admit(ACCOUNT).addErrback(failures.append)
        for _ in range(40):
            clock.advance(0.05)
        error = failures[0].value
        self.assertEqual(error.status, status)
        self.assertIs(error.executed, errors.Executed.NO)
        self.assertGreater(error.retry_after, 0)
