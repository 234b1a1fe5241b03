"""Guards against lost, reverted or doubly applied configurations (P9)."""

import collections
import unittest

from cicadafront.cli import base
from tests.system import registry, world

SEED = 1


class RegistryTest(unittest.TestCase):
    """Several operators change the configuration at once."""

    def test_applies_form_one_line(self) -> None:
        """Guards against two winners, silent losers and older revisions."""

        async def scenario(run: world.World) -> registry.Race:
            race = registry.Race(run, SEED)
            wrong.extend(await race.run())
            return race

        wrong: list[str] = []
        race = world.run(SEED, scenario)
        codes = collections.Counter(
            base.Exit(item.code).name for item in race.done
        )
        print(f"seed {SEED}: {dict(codes)}", flush=True)
        self.assertEqual(wrong, [])
        # Without losers there was no race.
        self.assertGreaterEqual(codes["LOST"], 2)
        self.assertGreaterEqual(codes["OK"], 2)


if __name__ == "__main__":
    unittest.main()
