"""Guards against lost, reverted or doubly applied configurations (P9).

Several operators apply changes at the same time while the store loses requests
and responses, so that a command may not know whether its write took effect.
"""

import collections
import unittest

from cicadafront.cli import base
from tests.system import registry, world

SEED = 1


class RegistryTest(unittest.TestCase):
    """Several operators change the configuration concurrently."""

    def test_concurrent_applies_form_one_chain(self) -> None:
        """Each revision has one writer, and all others get an error."""

        async def scenario(harness: world.FleetHarness) -> registry.Race:
            race = registry.Race(harness, SEED)
            problems.extend(await race.run())
            return race

        problems: list[str] = []
        race = world.run(SEED, scenario)
        codes = collections.Counter(
            base.Exit(item.code).name for item in race.commands
        )
        print(f"seed {SEED}: {dict(codes)}", flush=True)
        self.assertEqual(problems, [])
        # Without rejected commands there was no race.
        self.assertGreaterEqual(codes["LOST"], 2)
        self.assertGreaterEqual(codes["OK"], 2)


if __name__ == "__main__":
    unittest.main()
