"""Tests of the admission of requests during a planned shutdown."""

import unittest

from parameterized import parameterized

from cicadafront import shutdown

# The shutdown begins at 100 s. Requests read after 102.5 s are late.
SCHEDULE = shutdown.Schedule(late=102.5, cut=105.2)
LONG = 110.0


class AdmitsTest(unittest.TestCase):
    """Guards against a shutdown that accepts requests and then aborts them.

    A request is to be accepted only if its time limit or the expected time of
    its response lies before the cutoff.
    """

    @parameterized.expand(
        [
            ("early and short", 100.1, 100.1, LONG, 0.5, True),
            ("early, expected to take longer", 100.1, 100.1, LONG, 9.0, False),
            (
                "early, too slow for what is left",
                102.4,
                102.4,
                LONG,
                3.0,
                False,
            ),
            (
                "early, fast enough for what is left",
                102.4,
                102.4,
                LONG,
                2.0,
                True,
            ),
            ("late and short", 102.6, 102.6, LONG, 0.05, False),
            (
                "late, its limit ends before the cut",
                102.6,
                102.6,
                104.7,
                9.0,
                True,
            ),
            (
                "late, its limit ends at the cut",
                102.6,
                102.6,
                105.2,
                0.05,
                False,
            ),
            ("read early, waits, fast enough", 104.0, 102.0, LONG, 0.5, True),
            ("read early, waits, too slow", 104.0, 102.0, LONG, 1.0, False),
            (
                "read early, waits until the cut",
                104.79,
                102.0,
                LONG,
                0.1,
                False,
            ),
            ("limit ends during the stop", 104.7, 102.0, 104.75, 1.0, True),
            ("after a pause of the process", 108.0, 101.0, LONG, 0.01, False),
        ]
    )
    def test_request(self, _name, now, read, limit, objective, expected):
        found = SCHEDULE.admits(now, read, limit, objective)
        self.assertEqual(found, expected)

    def test_route_with_a_long_limit_and_no_objective(self):
        # The shutdown takes 60 s and the time limit is two minutes.
        schedule = shutdown.Schedule(late=102.0, cut=160.0)
        for now, expected in ((100.5, True), (156.0, True), (159.0, False)):
            found = schedule.admits(now, 100.5, 220.5, 0.0)
            self.assertEqual(found, expected)

    def test_without_a_shutdown(self):
        self.assertTrue(shutdown.Shutdown().admits(0.0, 0.0, 1e9, 1e9))

    def test_refusal_states_that_the_request_did_not_run(self):
        refusal = shutdown.refusal()
        self.assertEqual((refusal.status, refusal.executed.value), (503, "no"))
        self.assertLess(refusal.retry_after, 1.0)


if __name__ == "__main__":
    unittest.main()
