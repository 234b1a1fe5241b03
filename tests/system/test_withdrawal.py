"""Guards against connections and exchanges that outlive their key (P2)."""

import unittest

from tests.system import withdrawal, world

SEED = 1


class WithdrawalTest(unittest.TestCase):
    """A key is withdrawn while its callers are connected."""

    def test_all_that_is_open_ends_in_time(self) -> None:
        """Guards against uploads, downloads and idle connections left."""
        done = world.run(SEED, lambda run: withdrawal.Withdrawal(run).run())
        print({name: round(s, 2) for name, s in done.seconds.items()})
        self.assertEqual(done.wrong, [])
        slowest = max(done.seconds.values())
        self.assertLess(slowest, withdrawal.LIMIT_SECONDS)


if __name__ == "__main__":
    unittest.main()
