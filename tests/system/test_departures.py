"""Planned departures of targets and instances under load.

Guards against requests to a drained target, requests that a planned stop cuts
off, and payments that run again after a restart of the whole fleet because
their idempotency keys were lost.
"""

import unittest

from tests.system import departures, world

SEED = 1


class DeparturesTest(unittest.TestCase):
    """Drains and stops under load keep the guarantees P6, P7 and P8."""

    def test_planned_departures(self) -> None:
        """No late runs, no cut uploads, no second run of an old key."""
        done = world.run(
            SEED, lambda harness: departures.Departures(harness).run()
        )
        for name, value in done.figures.items():
            print(f"{name}: {value}", flush=True)
        self.assertEqual(done.problems, [])


if __name__ == "__main__":
    unittest.main()
