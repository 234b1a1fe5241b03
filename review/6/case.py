"""Uploads whose first target refuses them before they are in.

The next target must get the whole body, or none.
"""

import asyncio
import hashlib
import pathlib
import random
import sys
from typing import Any

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2")
)

import rig  # noqa: E402

KEY = "key-of-the-riders"
SECONDS = 45.0
# The impairment comes again and again, as long as the site's days have it.
EARLY_SECONDS, PAUSE_SECONDS = 6.0, 3.0
EARLY_SHARE = 0.4
LONG_BYTES = 16 * 1024
# A phone sends a photo at about 13 Mbit/s.
PIECE_BYTES, PIECE_SECONDS = 8 * 1024, 0.005

random_source = random.Random(6)


def document() -> dict[str, Any]:
    """Returns the operators' configuration."""
    route = {
        "name": "grave-photo",
        "path_prefix": "/photos/",
        "kind": "upload",
        "timeout_s": 4.0,
        "target_latency_s": 1.0,
        "priority": 1,
        "service": "proofs",
        "max_attempts": 3,
        "anonymous": False,
    }
    return {
        "version": 7,
        "services": [{"name": "proofs"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 5,
            "idle_timeout_s": 30,
        },
        "tenants": [{"name": "riders", "api_keys": [KEY], "rate_per_s": 0}],
        "virtual_hosts": [{"host": "photos.example", "paths": [route]}],
    }


class Proofs(rig.Target):
    """An upstream that may refuse long requests before they are in."""

    early = False

    def __init__(self, *args: Any):
        super().__init__(*args)
        # Digest and size of each body that was run, by request id.
        self.bodies: dict[str, tuple[str, int]] = {}
        self.refused = 0
        self.handle = self._keep

    async def refuses_early(
        self, fields: rig.Headers, writer: asyncio.StreamWriter
    ) -> bool:
        """Refuses a request that has not been read, and says so."""
        is_long = "chunked" in fields.get("transfer-encoding", "")
        is_long |= int(fields.get("content-length", "0")) > LONG_BYTES
        if not (self.early and is_long):
            return False
        if random_source.random() >= EARLY_SHARE:
            return False
        id = fields.get("cicadafront-request-id", "")
        self.refused += 1
        self.record.write(f"target {self.id}: refuses {id}, not run")
        writer.write(
            rig.answer(
                503,
                b"",
                {
                    "Cicadafront-Not-Executed": "1",
                    "Cicadafront-Request-Id": id,
                },
            )
        )
        return True

    async def _keep(
        self,
        _: rig.Target,
        run: rig.Run,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.bodies[run.id] = hashlib.sha256(body).hexdigest(), len(body)
        self.record.write(f"target {self.id}: {run.id} has {len(body)} bytes")
        await asyncio.sleep(random_source.uniform(0.1, 0.4))
        self.reply(writer, run)
        return True


class Rider:
    """A client that sends one photo after the other."""

    def __init__(self, fleet: rig.Fleet, machine: rig.Machine, number: int):
        self.fleet = fleet
        self.machine = machine
        self.number = number
        self.photos: dict[str, tuple[str, int]] = {}
        self.statuses: dict[str, int | str] = {}

    async def run(self, end: float) -> None:
        """Sends photos until a time."""
        while self.fleet.record.now() < end:
            id = f"{self.number:02x}{len(self.photos):06x}"
            size = random_source.randrange(30_000, 360_000)
            photo = random_source.randbytes(size)
            self.photos[id] = hashlib.sha256(photo).hexdigest(), size
            try:
                async with asyncio.timeout(6.0):
                    self.statuses[id] = await self._send(id, photo)
            except (OSError, EOFError, TimeoutError) as error:
                self.statuses[id] = type(error).__name__
            self.fleet.record.write(
                f"client {self.number}: {id}, {size} bytes: {self.statuses[id]}"
            )
            await asyncio.sleep(0.05)

    async def _send(self, id: str, photo: bytes) -> int:
        port = self.machine.ports["edge"]
        reader, writer = await asyncio.open_connection(rig.HOST, port)
        answered = asyncio.ensure_future(rig.read_head(reader))
        try:
            writer.write(
                f"POST /photos/{id} HTTP/1.1\r\nHost: photos.example\r\n"
                f"Cicadafront-Request-Id: {id}\r\n"
                f"Cicadafront-Key: {KEY}\r\n"
                "Cicadafront-Deadline-Ms: 4000\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            for start in range(0, len(photo), PIECE_BYTES):
                if answered.done():
                    break
                piece = photo[start : start + PIECE_BYTES]
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                await writer.drain()
                await asyncio.sleep(PIECE_SECONDS)
            else:
                writer.write(b"0\r\n\r\n")
            head = await answered
            if head is None:
                raise EOFError
            await rig.read_body(reader, head[1])
            return int(head[0].split(" ")[1])
        finally:
            answered.cancel()
            writer.close()


async def case(fleet: rig.Fleet, trouble: bool) -> int:
    """Plays the case."""
    fleet.target_class = Proofs
    for number in range(4):
        fleet.add("proofs", f"dar-{'abca'[number]}")
    fleet.store.configure(document())
    await fleet.start()
    await asyncio.sleep(4.0)
    end = fleet.record.now() + SECONDS
    riders = [Rider(fleet, fleet.machines[n % 4], n) for n in range(12)]
    running = [fleet.spawn(rider.run(end)) for rider in riders]
    targets = [machine.target for machine in fleet.machines]
    while trouble and fleet.record.now() < end - EARLY_SECONDS:
        # 0.7 of the upstreams at a time; one of four is left out.
        chosen = random_source.sample(targets, 2)
        for target in chosen:
            target.early = True
        names = ", ".join(target.id for target in chosen)
        fleet.record.say(f"{names} refuse long requests before they are in")
        await asyncio.sleep(EARLY_SECONDS)
        for target in chosen:
            target.early = False
        await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.gather(*running)
    return judge(fleet, riders, targets)


def judge(fleet: rig.Fleet, riders: list[Rider], targets: list[Proofs]) -> int:
    """Compares the bodies that were run with those that were sent."""
    photos = {id: sent for rider in riders for id, sent in rider.photos.items()}
    statuses = {id: s for rider in riders for id, s in rider.statuses.items()}
    changed = 0
    for target in targets:
        for id, got in target.bodies.items():
            if got == photos[id]:
                continue
            changed += 1
            fleet.record.say(
                f"BROKEN: {target.id} ran {id} with {got[1]} of "
                f"{photos[id][1]} bytes; the client got {statuses.get(id)}"
            )
    refused = sum(target.refused for target in targets)
    fleet.record.say(
        f"{len(photos)} uploads, {refused} refused early, {changed} run with "
        "another body than was sent"
    )
    return rig.BROKEN if changed else rig.HELD


if __name__ == "__main__":
    rig.main(case, str(pathlib.Path(__file__).parent))
