"""A late check-in brings back an upstream that has left, after a restart."""

import asyncio
import signal
import time

from standins import fleet as fleets

# The check-in reaches the node this long after it was sent.
LATE_SECONDS = 4.5
# Time from the deregistration to the end of the upstream.
SERVES_SECONDS = 14.0


async def send_requests(fleet: fleets.Fleet, node: fleets.Node) -> None:
    """Sends a read every 0.2 s."""
    while True:
        task = asyncio.create_task(fleet.request(node, "GET", "/read/1"))
        fleet.tasks.add(task)
        await asyncio.sleep(0.2)


async def send_late(fleet: fleets.Fleet, node: fleets.Node, beat: dict) -> None:
    """Delivers a check-in late."""
    id = node.upstream.id
    await asyncio.sleep(LATE_SECONDS)
    status = await node.upstream.send_check_in(beat, id)
    fleet.log(
        f"a check-in of {id} with sequence {beat['status']['sequence']} "
        f"arrives {LATE_SECONDS} s late and gets {status}"
    )


async def run(fleet: fleets.Fleet) -> int:
    """Runs the case."""
    fleet.configure([fleets.route("read", "rounds", "idempotent")])
    await fleet.start(["rounds"] * 3)
    leaving, *others = fleet.nodes
    clients = [
        asyncio.create_task(send_requests(fleet, node)) for node in others
    ]
    await asyncio.sleep(2.0)
    # The upstream does not get the answer in time and then decides to leave.
    beat = leaving.upstream.check_in()
    late = asyncio.create_task(send_late(fleet, leaving, beat))
    await asyncio.sleep(1.0)
    status = await leaving.upstream.deregister()
    acknowledged = time.monotonic()
    fleet.log(f"{leaving.upstream.id} deregisters and gets {status}")
    if status != 200:
        raise fleets.CannotRunError("the deregistration got no 200")
    ends = acknowledged + SERVES_SECONDS
    await asyncio.sleep(0.5)
    if fleet.trouble:
        leaving.send_signal(signal.SIGKILL)
        await leaving.wait_until_ended(5.0)
        await asyncio.sleep(0.5)
        leaving.start()
        await leaving.wait_until_ready()
    await late
    await asyncio.sleep(max(0.0, ends - time.monotonic()))
    leaving.upstream.stop()
    for client in clients:
        client.cancel()
    return judge(fleet, leaving, acknowledged)


def judge(
    fleet: fleets.Fleet, leaving: fleets.Node, acknowledged: float
) -> int:
    """Counts the requests that reached the upstream too late."""
    limit = acknowledged + fleets.DRAIN_SECONDS
    broken = 0
    for arrival in leaving.upstream.arrivals:
        entry = fleet.entry(arrival.id)
        if (
            arrival.at <= limit
            or arrival.status == 421
            or entry is None
            or not (leaving.in_touch(arrival.at) and entry.in_touch(arrival.at))
        ):
            continue
        broken += 1
        fleet.log(
            f"DRAIN: {arrival.id} from {entry.name} reached {arrival.upstream} "
            f"{arrival.at - acknowledged:.3f} s after the acknowledgement"
        )
    fleet.log(f"{broken} requests too late, 0 are allowed")
    return fleets.BROKEN if broken else fleets.HELD


if __name__ == "__main__":
    fleets.main(run, ".")
