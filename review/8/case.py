"""A write without an answer is done after a later one; then a restart.

Both are writes of the entry in which a process keeps which targets have left.
"""

import asyncio
import pathlib
import sys
import time
from typing import Any

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2")
)

import departure  # noqa: E402
import rig  # noqa: E402

# The pages allow 1 to 6 s.
LATE_SECONDS = 5.5
EXIT_SECONDS = 13.0


class Loss:
    """Loses the answer to one write of a machine."""

    def __init__(self, machine: str):
        self.machine = machine
        self.done = False

    def __call__(
        self, machine: str, puts: list[dict[str, Any]]
    ) -> float | None:
        """Returns the delay of a write, or None for a normal answer."""
        if self.done or machine != self.machine:
            return None
        self.done = True
        return LATE_SECONDS


async def case(fleet: rig.Fleet, trouble: bool) -> int:
    """Plays the case."""
    play = departure.Play(fleet)
    await play.start()
    if trouble:
        fleet.store.lose_write = Loss(play.machine.name)
    target = play.target
    target.id, target.born = "i-9001", int(time.time() * 1000)
    fleet.record.say(f"the target is started again, as {target.id}")
    await asyncio.sleep(4.0)
    await play.deregister()
    await asyncio.sleep(2.5)
    key = f"cicadafront/instances/{play.machine.name}"
    fleet.record.say(f"entry of the machine: {fleet.store.value(key)}")
    # The restart also happens without the disruption.
    calm_at = await play.restart()
    await asyncio.sleep(1.6)
    await play.late_heartbeat()
    return await play.finish(calm_at, EXIT_SECONDS)


if __name__ == "__main__":
    rig.main(case, str(pathlib.Path(__file__).parent))
