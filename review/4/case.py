"""A request that crashes upstreams is sent again after each planned restart."""

import asyncio
import signal

from standins import fleet as fleets

# An upstream is back within this time after a crash, its node knows it then.
BACK_SECONDS = 4.0
MACHINES = 6
FIRST_SENDS = 2
ALLOWED = 3
POISON = "/read/poison"


async def send_poison(fleet: fleets.Fleet, node: fleets.Node) -> None:
    """Sends the request and gives a crashed upstream time to come back."""
    await fleet.request(node, "GET", POISON, deadline=3.0)
    await asyncio.sleep(BACK_SECONDS)


async def run(fleet: fleets.Fleet) -> int:
    """Runs the case."""
    fleet.configure([fleets.route("read", "rounds", "idempotent")])
    await fleet.start(["rounds"] * MACHINES)
    for node in fleet.nodes:
        node.upstream.crashes = lambda head: POISON in head
    for number in range(FIRST_SENDS):
        await send_poison(fleet, fleet.nodes[number % MACHINES])
    for node in fleet.nodes:
        if fleet.trouble:
            node.send_signal(signal.SIGTERM)
            await node.wait_until_ended(fleets.BOUNDS["grace_s"])
            node.start()
            await node.wait_until_ready()
            await asyncio.sleep(fleets.STABLE_SECONDS + 0.2)
        await send_poison(fleet, node)
    return judge(fleet)


def judge(fleet: fleets.Fleet) -> int:
    """Counts the retries that reach upstreams after the third crash."""
    crashes = sorted(
        at for node in fleet.nodes for at in node.upstream.crashed_at
    )
    fleet.log(f"{len(crashes)} crashes")
    if not crashes:
        raise fleets.CannotRunError("the request crashed no upstream")
    if len(crashes) < 3:
        return fleets.HELD
    counted = set()
    for arrival in fleet.arrivals():
        entry = fleet.entry(arrival.id)
        if (
            POISON in arrival.head
            and arrival.at > crashes[2] + fleets.STABLE_SECONDS
            and entry is not None
            and entry.in_touch(fleet.sent[arrival.id][1])
            and entry.in_touch(arrival.at)
        ):
            counted.add(arrival.id)
            fleet.log(
                f"BUDGET: {arrival.id} from {entry.name} reached "
                f"{arrival.upstream} {arrival.at - crashes[2]:.1f} s after the "
                "third crash"
            )
    fleet.log(f"{len(counted)} retries, {ALLOWED} are allowed")
    return fleets.BROKEN if len(counted) > ALLOWED else fleets.HELD


if __name__ == "__main__":
    fleets.main(run, ".")
