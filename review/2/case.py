"""A check-in of another writer, with an unknown service, is believed."""

import asyncio
import time

from standins import fleet as fleets

FORGED_SERVICE = "no-such-service"
SENDS_SECONDS = 8.0


async def send_requests(fleet: fleets.Fleet, seconds: float) -> None:
    """Sends a read every 0.1 s, at each machine in turn."""
    ends = time.monotonic() + seconds
    number = 0
    while time.monotonic() < ends:
        node = fleet.nodes[number % len(fleet.nodes)]
        task = asyncio.create_task(fleet.request(node, "GET", "/read/1"))
        fleet.tasks.add(task)
        number += 1
        await asyncio.sleep(0.1)


async def run(fleet: fleets.Fleet) -> int:
    """Runs the case."""
    fleet.configure([fleets.route("read", "rounds", "idempotent")])
    await fleet.start(["rounds"] * 3)
    await send_requests(fleet, 2.0)
    first = fleet.nodes[0].upstream
    if fleet.trouble:
        host, port = first.address
        forged = {
            "address": f"{host}:{port}",
            "born": int(time.time() * 1000),
            "info": {
                "service": FORGED_SERVICE,
                "version": "v1",
                "zone": "zone-a",
                "slots": 3,
            },
            "status": {"state": "ready", "sequence": 1, "cold_remaining_s": 0},
        }
        status = await first.send_check_in(forged, "i-other")
        fleet.log(f"a check-in of another writer gets {status}: {forged}")
    await send_requests(fleet, SENDS_SECONDS)
    await asyncio.sleep(4.0)
    return judge(fleet)


def judge(fleet: fleets.Fleet) -> int:
    """Compares the caller's service of each run with the machine's."""
    broken = 0
    for arrival in fleet.arrivals():
        entry = fleet.entry(arrival.id)
        stated = arrival.fields.get("cicadafront-caller-service", "")
        if arrival.ran and entry is not None and stated != entry.service:
            broken += 1
            fleet.log(
                f"UNASKED: {arrival.id} began at {entry.name}, whose service "
                f"is {entry.service}, and ran with the service {stated}"
            )
    for node in fleet.nodes:
        ran = [a for a in node.upstream.arrivals if a.ran]
        last = max((a.at for a in ran), default=fleet.began) - fleet.began
        fleet.log(f"{node.name} ran {len(ran)}, the last one at {last:.1f} s")
    fleet.log(f"{broken} runs with another service, 0 are allowed")
    return fleets.BROKEN if broken else fleets.HELD


if __name__ == "__main__":
    fleets.main(run, ".")
