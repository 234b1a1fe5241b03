"""A short soak with fixed seeds."""

import subprocess
import sys
import unittest

from parameterized import parameterized

# Seeds that failed once stay here, each with its cause.
SEEDS = (
    # A replaced keeper let an account exceed its rate by one in a window.
    6,
    # Instances that had just started, and second keepers with a full bucket,
    # granted six more than a window takes. Later, beside load: a reload ended
    # a process that was still loading its libraries. Then again: instances
    # that restarted together formed a fleet of their own for seconds.
    20,
)
SECONDS = 15.0


class SoakTest(unittest.TestCase):
    """Guards against promises that break when faults overlap."""

    @parameterized.expand([(seed,) for seed in SEEDS])
    def test_seed(self, seed):
        arguments = ["--seeds", str(seed), "--seconds", str(SECONDS)]
        done = subprocess.run(
            [sys.executable, "-m", "tests.soak.run", *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
