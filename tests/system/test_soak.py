"""Checks the guarantees of docs/promises.md on real processes under faults.

Guards against requests that run twice, refusals of requests that ran, and
responses that belong to another request.
"""

import unittest

from tests.system import soak

SEED = 1
SECONDS = 25.0


class SoakTest(unittest.TestCase):
    """A short soak with a fixed seed; see `make soak-own-store`."""

    def test_history_holds_under_faults(self) -> None:
        """No duplicate runs, no false refusals and no wrong responses."""
        self.assertEqual(soak.one(SEED, SECONDS), "")


if __name__ == "__main__":
    unittest.main()
