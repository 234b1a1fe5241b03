"""Tests of the owner's ledger and of the holder's credit."""

import unittest

from parameterized import parameterized

from cicadafront.config import model as config_model
from cicadafront.limits import grants, ledger

FAR = 1e9


def _account(rate=10.0, burst=40.0):
    return config_model.ClientAccount("amani", rate, burst)


def _ledger(fresh=True, issue_from=0.0):
    return ledger.Ledger(1, issue_from, fresh)


def _ask(book, now, account, need=1, want=0, wait=0.0, holder="i1"):
    number = book.add_request(now, account, holder, need, want, wait)
    answers = dict(book.answer(now, account, FAR))
    return answers.get(number)


class LedgerTest(unittest.TestCase):
    """Guards against credit beyond rate and burst, and against lost credit."""

    @parameterized.expand(
        [
            ("fresh bucket is full", True, 0.0, 1.0, 40, 40),
            ("successor starts empty", False, 0.0, 0.0, 1, 0),
            ("successor refills", False, 0.0, 2.0, 40, 20),
            ("nothing before issue_from", False, 5.0, 4.0, 1, 0),
            ("no refill before issue_from", False, 5.0, 6.0, 40, 10),
        ]
    )
    def test_start(self, _name, fresh, issue_from, now, need, expected):
        book = _ledger(fresh, issue_from)
        grant = _ask(book, now, _account(), need)
        self.assertEqual(grant.amount, expected)

    def test_unused_credit_stops_the_refill(self):
        """Tokens and unused credit together do not exceed the burst."""
        book, account = _ledger(), _account()
        _ask(book, 0.0, account, 40)
        bucket = book.bucket(1.9, account)
        self.assertEqual(bucket.tokens, 0)
        self.assertEqual(bucket.outstanding, 40)
        bucket = book.bucket(2.5, account)
        self.assertEqual(bucket.outstanding, 0)
        self.assertAlmostEqual(bucket.tokens, 5.0)

    @parameterized.expand(
        [
            ("used", 40, False, 10.0),
            ("used twice reported", 40, False, 10.0),
            ("part returned", 10, True, 30.0),
        ]
    )
    def test_reports(self, name, used, closed, expected):
        book, account = _ledger(), _account()
        grant = _ask(book, 0.0, account, 40)
        report = ledger.Report(grant.id, used, closed)
        for _ in range(2 if "twice" in name else 1):
            book.report(0.0, account, (report,))
        tokens = book.bucket(0.0 if closed else 1.0, account).tokens
        self.assertAlmostEqual(tokens, expected)

    def test_lowered_burst_applies_at_once(self):
        book = _ledger()
        _ask(book, 0.0, _account(), 1)
        self.assertEqual(book.bucket(0.0, _account(burst=5)).tokens, 4)

    def test_raised_rate_does_not_apply_retroactively(self):
        book = _ledger(False)
        book.bucket(0.0, _account(rate=1))
        self.assertAlmostEqual(book.bucket(1.0, _account(rate=30)).tokens, 1)

    @parameterized.expand([("small rate", 0.2, 40), ("small burst", 50, 5)])
    def test_small_accounts_get_no_prefetched_credit(self, _name, rate, burst):
        grant = _ask(_ledger(), 0.0, _account(rate, burst), 1, want=10)
        self.assertEqual((grant.amount, grant.report_immediately), (1, True))

    def test_prefetch_leaves_half_of_the_burst(self):
        """A burst at another instance must get tokens at once."""
        grant = _ask(_ledger(), 0.0, _account(), 1, want=100)
        self.assertEqual(grant.amount, 20)

    def test_grant_expires_with_the_authority(self):
        """Credit must not outlive the authority of the owner.

        A successor grants the same tokens as soon as that authority ends.
        """
        book, account = _ledger(), _account()
        book.add_request(0.0, account, "i1", 1, 5, 0.0)
        grant = book.answer(0.0, account, 0.7)[0][1]
        self.assertAlmostEqual(grant.lifetime, 0.7)
        self.assertEqual(grant.amount, 1)

    def test_export_keeps_tokens_and_grants(self):
        book, account = _ledger(), _account()
        grant = _ask(book, 0.0, account, 30)
        new = ledger.Ledger.restore(100.0, 2, book.export(1.0))
        bucket = new.bucket(100.0, account)
        self.assertEqual((bucket.tokens, bucket.outstanding), (10, 30))
        new.report(100.0, account, (ledger.Report(grant.id, 0, True),))
        self.assertEqual(new.bucket(100.0, account).tokens, 40)


class GrantsTest(unittest.TestCase):
    """Guards against false refusals, and against the use of expired credit."""

    def test_request_waits_at_most_a_second(self):
        held = grants.Grants()
        number = held.admit(0.0, "amani")
        self.assertEqual(held.timed_out(0.99, "amani"), [])
        refused = held.timed_out(1.0, "amani")
        self.assertEqual([each for each, _ in refused], [number])

    @parameterized.expand([("live", 1.95, True), ("ended", 1.97, False)])
    def test_lifetime_counts_from_the_request(self, _name, now, admitted):
        """The holder stops early: the owner's clock may be 1% faster."""
        held = grants.Grants()
        grant = ledger.Grant((1, 1), 5, 2.0)
        held.granted(0.5, 0.0, "amani", grant)
        self.assertEqual(held.admit(now, "amani") is None, admitted)

    def test_recall_returns_all_unused_credit(self):
        held = grants.Grants()
        held.granted(0.0, 0.0, "amani", ledger.Grant((1, 1), 5, 2.0))
        self.assertIsNone(held.admit(0.1, "amani"))
        reports = held.recall(0.2, "amani")
        self.assertEqual(reports, (ledger.Report((1, 1), 1, True),))
        self.assertIsNotNone(held.admit(0.3, "amani"))

    def test_idle_credit_is_returned(self):
        held = grants.Grants()
        held.admit(0.0, "amani")
        held.granted(0.0, 0.0, "amani", ledger.Grant((1, 1), 5, 2.0))
        due_requests = held.due_requests(0.9, "amani")
        self.assertTrue(due_requests[0].reports[0].closed)


if __name__ == "__main__":
    unittest.main()
