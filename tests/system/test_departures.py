"""Guards against work for leaving targets, cut requests and double runs."""

import unittest

from tests.system import departures, world

SEED = 1


class DeparturesTest(unittest.TestCase):
    """Targets and instances leave as planned, under load (P6, P7, P8)."""

    def test_planned_departures(self) -> None:
        """Guards against late work, cut uploads and old keys run again."""
        done = world.run(SEED, lambda run: departures.Departures(run).run())
        for name, value in done.figures.items():
            print(f"{name}: {value}", flush=True)
        self.assertEqual(done.wrong, [])


if __name__ == "__main__":
    unittest.main()
