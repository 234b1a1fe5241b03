"""After one check-in that cannot be read, a machine answers no client."""

import asyncio
import dataclasses
import time

from standins import fleet as fleets

# A lone surrogate: text that cannot be written in any encoding.
UNREADABLE = "\ud800"
SENDS_SECONDS = 12.0
FLOOR_SHARE = 0.7
WINDOW = 2.0


@dataclasses.dataclass
class Sent:
    """A request of a client.

    Attributes:
        at: Time at which it was sent.
        machine: Machine at which it began.
        status: Status of the answer, 0 if there was none.
    """

    at: float
    machine: str
    status: int = 0


async def send(fleet: fleets.Fleet, node: fleets.Node, sent: Sent) -> None:
    """Sends one read."""
    sent.status = await fleet.request(node, "GET", "/read/1", deadline=2.0)


async def send_requests(
    fleet: fleets.Fleet, seconds: float, found: list[Sent]
) -> None:
    """Sends a read every 0.05 s, at each machine in turn."""
    ends = time.monotonic() + seconds
    number = 0
    running = []
    while time.monotonic() < ends:
        node = fleet.nodes[number % len(fleet.nodes)]
        number += 1
        found.append(Sent(time.monotonic(), node.name))
        running.append(asyncio.create_task(send(fleet, node, found[-1])))
        await asyncio.sleep(0.05)
    await asyncio.gather(*running)


async def run(fleet: fleets.Fleet) -> int:
    """Runs the case."""
    fleet.configure([fleets.route("read", "rounds", "idempotent")])
    await fleet.start(["rounds"] * 3)
    # Sound upstreams have been without impairment for twice the stable time.
    await asyncio.sleep(fleets.STABLE_SECONDS)
    found: list[Sent] = []
    await send_requests(fleet, 3.0, found)
    first = fleet.nodes[0]
    if fleet.trouble:
        beat = first.upstream.check_in()
        beat["info"]["service"] = UNREADABLE
        beat["born"] = int(time.time() * 1000)
        status = await first.upstream.send_check_in(beat, "i-other")
        fleet.log(f"a check-in that cannot be read gets {status}")
    began = time.monotonic()
    await send_requests(fleet, SENDS_SECONDS, found)
    fleet.log(f"{first.name} says that it is ready: {await first.ready()}")
    return judge(fleet, found, began)


def judge(fleet: fleets.Fleet, found: list[Sent], began: float) -> int:
    """Looks at spans of 2 s for upstreams and requests that go short."""
    broken = 0
    start = began
    while start + WINDOW <= began + SENDS_SECONDS:
        end = start + WINDOW
        reached = {
            node.name
            for node in fleet.nodes
            if any(start <= a.at < end for a in node.upstream.arrivals)
        }
        inside = [sent for sent in found if start <= sent.at < end]
        failed = [sent for sent in inside if sent.status != 200]
        share = len(reached) / len(fleet.nodes)
        unserved = len(failed) / max(1, len(inside))
        if 0 < share < FLOOR_SHARE and 0.1 < unserved < 0.5:
            broken += 1
            fleet.log(
                f"FLOOR: from {start - fleet.began:.1f} s on {len(reached)} of "
                f"{len(fleet.nodes)} sound upstreams get requests, "
                f"{len(failed)} of {len(inside)} requests aren't served"
            )
        start += 0.5
    for node in fleet.nodes:
        all_sent = [s for s in found if s.machine == node.name and s.at > began]
        none = sum(sent.status == 0 for sent in all_sent)
        fleet.log(f"{node.name}: {none} of {len(all_sent)} without an answer")
    fleet.log(f"{broken} spans of 2 s below the floor, 0 are allowed")
    return fleets.BROKEN if broken else fleets.HELD


if __name__ == "__main__":
    fleets.main(run, ".")
