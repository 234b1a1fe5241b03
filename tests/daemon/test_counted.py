"""Tests of the counts of admission and idempotency decisions."""

import unittest

from parameterized import parameterized
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.config import model as config_model
from cicadafront.daemon import counted

AMANI = config_model.ClientAccount("amani", 10, 20)
TICKET = ports.Ticket("amani", "k", 0, 0, 1)


class StubService:
    """Returns a given result for each call."""

    def __init__(self, result):
        self.result = result
        self.finish = self.release = self.abandon = None

    def admit(self, account):
        return self.result

    def begin(self, account, key, digest, timeout):
        return self.result


class CountedTest(unittest.TestCase):
    """Guards against changed results and wrong counts.

    The wrappers pass each result through and count it.
    """

    def test_accounts(self):
        refusal = errors.RateExceededError("x", retry_after=1.0)
        inner = StubService(defer.succeed(None))
        admission = counted.CountedAdmission(inner)
        results = [admission.admit(AMANI)]
        inner.result = defer.fail(refusal)
        failed = []
        admission.admit(AMANI).addErrback(failed.append)
        self.assertIsNone(results[0].result)
        self.assertIs(failed[0].value, refusal)
        self.assertEqual(admission.admitted, {"amani": 1})
        self.assertEqual(admission.refused, {"amani": 1})
        known = config_model.Configuration(accounts={"amani": AMANI})
        item = {"id": "amani", "rate": 10, "burst": 20, "weight": AMANI.weight}
        item.update(admitted=1, refused=1)
        self.assertEqual(admission.items(known), [item])
        self.assertEqual(admission.items(config_model.Configuration()), [])
        self.assertEqual((admission.admitted, admission.refused), ({}, {}))

    @parameterized.expand(
        [
            ("start", ports.Start(TICKET)),
            (errors.RecordMismatchError.code, errors.RecordMismatchError("x")),
        ]
    )
    def test_records(self, kind, outcome):
        failed = isinstance(outcome, Exception)
        result = defer.fail(outcome) if failed else defer.succeed(outcome)
        records = counted.CountedRecords(StubService(result))
        seen = []
        records.begin("amani", "k", b"", 1.0).addBoth(seen.append)
        self.assertIs(seen[0].value if failed else seen[0], outcome)
        self.assertEqual(records.begin_results, {kind: 1})
