"""Uploads reach upstreams after their clients have left."""

import array
import asyncio
import fcntl
import socket
import termios
import time
from typing import Any

from standins import fleet as fleets
from standins import http

# Within the sizes of km-grave, which has uploads of up to 360,000 bytes.
UPLOAD_BYTES = 275_000
WORK_SECONDS = 2.0
DEADLINE_SECONDS = 8.0
# Uploads that occupy all slots, uploads of clients that leave, and reads of
# other clients: 27 in 100 clients leave.
MACHINES = 6
STAYING = 18
LEAVING = 54
READS = 130
LEAVES_AFTER_SECONDS = 0.5
# A request may reach an upstream for this time after its client's close.
ALLOWED_SECONDS = 0.5
# "More than a few requests".
FEW = 5


def unsent(connection: socket.socket) -> int:
    """Returns the bytes that the peer has not acknowledged."""
    found = array.array("i", [0])
    fcntl.ioctl(connection, termios.TIOCOUTQ, found)
    return found[0]


async def upload(
    fleet: fleets.Fleet, node: fleets.Node, leaves: bool, left: dict[str, float]
) -> None:
    """Uploads a file; closes the connection after a while if it leaves."""
    id = fleet.new_id(node)
    headers = fleets.request_headers(id, DEADLINE_SECONDS)
    body = bytes(UPLOAD_BYTES)
    if not leaves:
        address = node.address("outbound")
        answer = await http.call(
            address, "POST", "/photo/1", headers, body, DEADLINE_SECONDS
        )
        fleet.log(f"client gets {answer.status if answer else 0} for {id}")
        return
    reader, writer = await asyncio.open_connection(*node.address("outbound"))
    writer.write(http.encode("POST /photo/1 HTTP/1.1", headers, body))
    fleet.log(f"client sends {id} to {node.name}")
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    connection = writer.get_extra_info("socket")
    if reader.at_eof() or writer.transport.get_write_buffer_size():
        fleet.log(f"{id} is not sent or is answered already")
        writer.close()
        return
    waiting = unsent(connection)
    writer.close()
    if not waiting:
        # Nothing stands before the close, so it reaches the node at once.
        left[id] = time.monotonic()
    fleet.log(f"client of {id} leaves, {waiting} bytes not acknowledged")


async def read(fleet: fleets.Fleet) -> None:
    """Sends the reads of the other clients, at each machine in turn."""
    for number in range(READS):
        node = fleet.nodes[number % len(fleet.nodes)]
        fleet.tasks.add(
            asyncio.create_task(fleet.request(node, "GET", "/lookup/1"))
        )
        await asyncio.sleep(0.01)


async def run(fleet: fleets.Fleet) -> int:
    """Runs the case."""
    photo = fleets.route("photo", "proofs", "upload")
    lookup = fleets.route("lookup", "desk", "idempotent")
    fleet.configure([photo, lookup])
    await fleet.start(["proofs"] * MACHINES + ["desk"])
    nodes = fleet.nodes[:MACHINES]
    for node in nodes:
        node.upstream.work_seconds = lambda head: WORK_SECONDS
    left: dict[str, float] = {}
    clients: list[asyncio.Task[Any]] = []
    reading = asyncio.create_task(read(fleet))
    for number in range(STAYING + LEAVING):
        node = nodes[number % MACHINES]
        leaves = fleet.trouble and number >= STAYING
        task = asyncio.create_task(upload(fleet, node, leaves, left))
        clients.append(task)
        await asyncio.sleep(0.02)
    await asyncio.gather(reading, *clients)
    await asyncio.sleep(DEADLINE_SECONDS)
    return judge(fleet, left)


def judge(fleet: fleets.Fleet, left: dict[str, float]) -> int:
    """Counts the requests that reached an upstream too late."""
    late = 0
    for arrival in fleet.arrivals():
        closed = left.get(arrival.id)
        if closed is None or arrival.at <= closed + ALLOWED_SECONDS:
            continue
        late += 1
        fleet.log(
            f"GONE: {arrival.id} reached {arrival.upstream} "
            f"{arrival.at - closed:.3f} s after its client had left, "
            f"ran: {arrival.ran}"
        )
    fleet.log(f"{late} requests too late, {FEW} are allowed; {len(left)} left")
    return fleets.BROKEN if late > FEW else fleets.HELD


if __name__ == "__main__":
    fleets.main(run, ".")
