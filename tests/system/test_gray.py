"""Guards the detection time of gray targets (docs/design.md, 1.3)."""

import unittest

from tests.system import gray

SEED = 1
REPEATS = 1


class GrayTest(unittest.TestCase):
    """Each kind of fault under 20 requests/s a target."""

    def test_detection_time(self) -> None:
        """Guards against gray targets that stay in service."""
        self.assertEqual(gray.measure(SEED, REPEATS), [])


if __name__ == "__main__":
    unittest.main()
