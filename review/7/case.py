"""A process restarts in an outage of the store in which leases expire.

Before it, its target has deregistered and was acknowledged.
"""

import asyncio
import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2")
)

import departure  # noqa: E402
import rig  # noqa: E402

OUTAGE_SECONDS = 4.5
EXIT_SECONDS = 12.0


async def case(fleet: rig.Fleet, trouble: bool) -> int:
    """Plays the case."""
    play = departure.Play(fleet)
    await play.start()
    await play.deregister()
    await asyncio.sleep(0.2)
    names = [machine.name for machine in fleet.machines]
    back_at = fleet.record.now() + OUTAGE_SECONDS
    if trouble:
        fleet.record.say("the store is silent; leases run out meanwhile")
        for name in names:
            fleet.store.modes[name] = "silent"
        fleet.store.lapse()
    await asyncio.sleep(0.2)
    # The restart also happens without the outage.
    await play.restart()
    await asyncio.sleep(2.0)
    await play.late_heartbeat()
    await asyncio.sleep(max(0.0, back_at - fleet.record.now()))
    for name in names:
        fleet.store.modes[name] = ""
    fleet.record.say("the store answers")
    return await play.finish(fleet.record.now(), EXIT_SECONDS)


if __name__ == "__main__":
    rig.main(case, str(pathlib.Path(__file__).parent))
