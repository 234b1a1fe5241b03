"""Guards against connections and requests that outlive their key (P2).

If a key were only checked when a request begins, idle connections, long
uploads and long downloads would go on after its withdrawal.
"""

import unittest

from tests.system import withdrawal, world

SEED = 1


class WithdrawalTest(unittest.TestCase):
    """A key is withdrawn while its callers have open connections."""

    def test_open_connections_end_in_time(self) -> None:
        """Uploads, downloads and idle connections end within the limit."""
        done = world.run(
            SEED, lambda harness: withdrawal.Withdrawal(harness).run()
        )
        print({name: round(s, 2) for name, s in done.seconds.items()})
        self.assertEqual(done.problems, [])
        slowest = max(done.seconds.values())
        self.assertLess(slowest, withdrawal.LIMIT_SECONDS)


if __name__ == "__main__":
    unittest.main()
