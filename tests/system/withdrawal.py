"""A withdrawn key, over idle connections, uploads and downloads."""

import json
import time
from typing import Any

import attrs
from twisted.internet import defer, endpoints, protocol, task
from twisted.python import failure

from cicadafront.emulator import processes
from tests.system import world

# A revoked key stops working within this time everywhere (P2).
LIMIT_SECONDS = 5.0
ACCOUNT = "staff"
KEY = "example4"
UPLOAD_BYTES = 1_000_000
DOWNLOAD_BYTES = 50_000_000
# Slow enough that the upload and the download outlast the limit.
DRIP_SECONDS = 0.05
DRIP_BYTES = 2_000


class Raw(protocol.Protocol):
    """A connection that keeps what arrives and when it ends."""

    transport: Any

    def __init__(self) -> None:
        self.data = bytearray()
        self.ended: float | None = None
        self.answered: float | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keeps the bytes."""
        if self.answered is None:
            self.answered = time.monotonic()
        self.data += data

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Notes the end."""
        self.ended = time.monotonic()


@attrs.define
class Opened:
    """What is open at one instance when the key is withdrawn."""

    instance: str
    idle: Raw
    upload: Raw
    held: Raw
    download: Raw


class Withdrawal:
    """Opens connections, withdraws the key and waits for the effect.

    Attributes:
        seconds: Time until each thing had ended, by name.
        wrong: What did not end as it must.
    """

    def __init__(self, run: world.World):
        self.world = run
        self.seconds: dict[str, float] = {}
        self.wrong: list[str] = []
        self.dripping: list[task.LoopingCall] = []

    async def run(self) -> "Withdrawal":
        """Runs the scenario."""
        opened = [
            await self.open(instance)
            for instance in self.world.fleet.instances.values()
        ]
        await self.world.pause(1.0)

        def withdraw(values: dict) -> None:
            del values["keys"][KEY]

        await self.world.apply(withdraw)
        start = time.monotonic()

        async def ended() -> bool:
            return all(
                item.idle.ended
                and item.upload.answered
                and item.held.answered
                and item.download.ended
                for item in opened
            )

        # Waits longer than the limit, so that a late end has a figure.
        await self.world.wait_until(ended, LIMIT_SECONDS * 2)
        for drip in self.dripping:
            drip.stop()
        await self.world.pause(0.5)
        for item in opened:
            self.judge(item, start)
        return self

    async def open(self, instance: processes.Instance) -> Opened:
        """Opens an idle connection, two uploads and a download."""
        idle = await self.connect(instance)
        self.ask(idle, f"GET /rounds/idle-{instance.id}")
        upload = await self.connect(instance)
        length = f"Content-Length: {UPLOAD_BYTES}\r\n"
        self.ask(upload, f"PUT /proofs/upload-{instance.id}", length)
        held = await self.connect(instance)
        more = f"{length}Idempotency-Key: held-{instance.id}\r\n"
        self.ask(held, f"POST /payments/held-{instance.id}", more)
        for raw in (upload, held):
            drip = task.LoopingCall(raw.transport.write, b"x" * DRIP_BYTES)
            if raw is held:
                # Stays below what the entry holds before it begins.
                drip = task.LoopingCall(raw.transport.write, b"x" * 10)
            drip.start(DRIP_SECONDS)
            self.dripping.append(drip)
        download = await self.connect(instance)
        query = f"?bytes={DOWNLOAD_BYTES}"
        self.ask(download, f"GET /proofs/down-{instance.id}{query}")
        # An unread download stays open; flow control stops it on its way.
        reading = task.LoopingCall(self.sip, download)
        reading.start(DRIP_SECONDS)
        self.dripping.append(reading)
        return Opened(instance.id, idle, upload, held, download)

    def sip(self, raw: Raw) -> None:
        """Reads a little of a download."""
        if raw.ended is None:
            raw.transport.resumeProducing()
            self.world.reactor.callLater(0.002, self.rest, raw)

    def rest(self, raw: Raw) -> None:
        """Stops reading until the next sip."""
        if raw.ended is None:
            raw.transport.pauseProducing()

    async def connect(self, instance: processes.Instance) -> Raw:
        """Opens a connection to the entry of an instance."""
        end = endpoints.TCP4ClientEndpoint(
            self.world.reactor, processes.HOST, instance.edge
        )
        raw: Any = await defer.maybeDeferred(
            endpoints.connectProtocol, end, Raw()
        )
        return raw

    def ask(self, raw: Raw, line: str, more: str = "") -> None:
        """Sends the head of a request with the key."""
        head = (
            f"{line} HTTP/1.1\r\nHost: h\r\n{more}"
            f"X-Send-Id: {line.rpartition('/')[2]}\r\n"
            f"Authorization: Bearer {world.TOKENS[ACCOUNT]}\r\n\r\n"
        )
        raw.transport.write(head.encode())

    def judge(self, item: Opened, start: float) -> None:
        """Notes when and how each thing ended at an instance."""
        moments = {
            "idle": item.idle.ended,
            "upload": item.upload.answered,
            "held": item.held.answered,
            "download": item.download.ended,
        }
        for name, moment in moments.items():
            name = f"{name} {item.instance}"
            if moment is None:
                self.wrong.append(f"{name} did not end")
            else:
                self.seconds[name] = moment - start
        if not item.idle.data.startswith(b"HTTP/1.1 200"):
            self.wrong.append(f"idle {item.instance}: no answer before")
        if not 0 < len(item.download.data) < DOWNLOAD_BYTES:
            self.wrong.append(f"download {item.instance} was not cut")
        self.refused(f"upload {item.instance}", item.upload)
        self.refused(f"held {item.instance}", item.held, "no")

    def refused(self, name: str, raw: Raw, executed: str = "") -> None:
        """Checks the refusal of an upload against what the targets ran."""
        if not raw.data.startswith(b"HTTP/1.1 401"):
            self.wrong.append(f"{name}: {bytes(raw.data[:60])!r}")
            return
        problem = json.loads(raw.data.partition(b"\r\n\r\n")[2])
        if problem["code"] != "key_unknown":
            self.wrong.append(f"{name}: {problem}")
        if executed and problem["executed"] != executed:
            self.wrong.append(f"{name}: executed {problem['executed']}")
        send = name.replace(" ", "-")
        ran = any(run.send == send for run in self.world.executions())
        if ran and problem["executed"] == "no":
            self.wrong.append(f"{name} ran, but is refused as not run")
