"""Withdrawal of a key during idle connections, uploads and downloads."""

import json
import time
from typing import Any

import attrs
from twisted.internet import defer, endpoints, protocol, task
from twisted.python import failure

from cicadafront.emulator import processes
from tests.system import world

# A withdrawn key stops working on all instances within this time (P2).
LIMIT_SECONDS = 5.0
ACCOUNT = "staff"
KEY = "example4"
UPLOAD_BYTES = 1_000_000
DOWNLOAD_BYTES = 50_000_000
# Slow enough that the upload and the download take longer than the limit.
CHUNK_INTERVAL_SECONDS = 0.05
CHUNK_BYTES = 2_000


class RawConnection(protocol.Protocol):
    """A connection that records the received bytes and the time it closes."""

    transport: Any

    def __init__(self) -> None:
        self.data = bytearray()
        self.ended: float | None = None
        self.responded_at: float | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Records the bytes and the time of the first ones."""
        if self.responded_at is None:
            self.responded_at = time.monotonic()
        self.data += data

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Records the time of the close."""
        self.ended = time.monotonic()


@attrs.define
class Opened:
    """Connections to one instance that are open when the key is withdrawn.

    Attributes:
        instance: Id of the instance.
        idle: Connection with a completed request.
        upload: Slow upload that the edge forwards to a target.
        held: Upload that the edge still buffers.
        download: Download that is read slowly.
    """

    instance: str
    idle: RawConnection
    upload: RawConnection
    held: RawConnection
    download: RawConnection


class Withdrawal:
    """Opens connections, withdraws the key and waits until they end.

    Attributes:
        seconds: Time until each connection or request ended, by name.
        problems: Connections and requests that did not end as required.
    """

    def __init__(self, harness: world.FleetHarness):
        self.harness = harness
        self.seconds: dict[str, float] = {}
        self.problems: list[str] = []
        self.running_loops: list[task.LoopingCall] = []

    async def run(self) -> "Withdrawal":
        """Runs the scenario."""
        opened = [
            await self.open(instance)
            for instance in self.harness.fleet.instances.values()
        ]
        await self.harness.pause(1.0)

        def withdraw(values: dict) -> None:
            del values["keys"][KEY]

        await self.harness.apply(withdraw)
        start = time.monotonic()

        async def ended() -> bool:
            return all(
                item.idle.ended
                and item.upload.responded_at
                and item.held.responded_at
                and item.download.ended
                for item in opened
            )

        # Waits longer than the limit, so that a late end is still measured.
        await self.harness.wait_until(ended, LIMIT_SECONDS * 2)
        for write_loop in self.running_loops:
            write_loop.stop()
        await self.harness.pause(0.5)
        for item in opened:
            self.check_instance(item, start)
        return self

    async def open(self, instance: processes.Instance) -> Opened:
        """Opens an idle connection, two uploads and a download."""
        idle = await self.connect(instance)
        self.send_head(idle, f"GET /rounds/idle-{instance.id}")
        upload = await self.connect(instance)
        length = f"Content-Length: {UPLOAD_BYTES}\r\n"
        self.send_head(upload, f"PUT /proofs/upload-{instance.id}", length)
        held = await self.connect(instance)
        extra_headers = f"{length}Idempotency-Key: held-{instance.id}\r\n"
        self.send_head(
            held, f"POST /payments/held-{instance.id}", extra_headers
        )
        for raw in (upload, held):
            write_loop = task.LoopingCall(
                raw.transport.write, b"x" * CHUNK_BYTES
            )
            if raw is held:
                # Sends less than what the edge buffers before the request
                # begins.
                write_loop = task.LoopingCall(raw.transport.write, b"x" * 10)
            write_loop.start(CHUNK_INTERVAL_SECONDS)
            self.running_loops.append(write_loop)
        download = await self.connect(instance)
        query = f"?bytes={DOWNLOAD_BYTES}"
        self.send_head(download, f"GET /proofs/down-{instance.id}{query}")
        # A download that nobody reads would stay open, since flow control
        # stops it.
        read_loop = task.LoopingCall(self.read_briefly, download)
        read_loop.start(CHUNK_INTERVAL_SECONDS)
        self.running_loops.append(read_loop)
        return Opened(instance.id, idle, upload, held, download)

    def read_briefly(self, raw: RawConnection) -> None:
        """Reads a little of a download."""
        if raw.ended is None:
            raw.transport.resumeProducing()
            self.harness.reactor.callLater(0.002, self.pause_reading, raw)

    def pause_reading(self, raw: RawConnection) -> None:
        """Stops reading until the next interval."""
        if raw.ended is None:
            raw.transport.pauseProducing()

    async def connect(self, instance: processes.Instance) -> RawConnection:
        """Opens a connection to the edge of an instance."""
        endpoint = endpoints.TCP4ClientEndpoint(
            self.harness.reactor, processes.HOST, instance.edge
        )
        raw: Any = await defer.maybeDeferred(
            endpoints.connectProtocol, endpoint, RawConnection()
        )
        return raw

    def send_head(
        self, raw: RawConnection, line: str, extra_headers: str = ""
    ) -> None:
        """Sends the head of a request with the key."""
        head = (
            f"{line} HTTP/1.1\r\nHost: h\r\n{extra_headers}"
            f"X-Send-Id: {line.rpartition('/')[2]}\r\n"
            f"Authorization: Bearer {world.TOKENS[ACCOUNT]}\r\n\r\n"
        )
        raw.transport.write(head.encode())

    def check_instance(self, item: Opened, start: float) -> None:
        """Records when the requests on an instance ended, and checks how."""
        end_times = {
            "idle": item.idle.ended,
            "upload": item.upload.responded_at,
            "held": item.held.responded_at,
            "download": item.download.ended,
        }
        for name, ended_at in end_times.items():
            name = f"{name} {item.instance}"
            if ended_at is None:
                self.problems.append(
                    f"{name} did not end within twice the limit"
                )
            else:
                self.seconds[name] = ended_at - start
        if not item.idle.data.startswith(b"HTTP/1.1 200"):
            self.problems.append(f"idle {item.instance}: no response before")
        if not 0 < len(item.download.data) < DOWNLOAD_BYTES:
            self.problems.append(f"download {item.instance} was not cut off")
        self.check_rejection(f"upload {item.instance}", item.upload)
        self.check_rejection(f"held {item.instance}", item.held, "no")

    def check_rejection(
        self, name: str, raw: RawConnection, executed: str = ""
    ) -> None:
        """Checks the rejection of an upload against the executions."""
        if not raw.data.startswith(b"HTTP/1.1 401"):
            self.problems.append(f"{name}: {bytes(raw.data[:60])!r}")
            return
        problem = json.loads(raw.data.partition(b"\r\n\r\n")[2])
        if problem["code"] != "key_unknown":
            self.problems.append(f"{name}: {problem}")
        if executed and problem["executed"] != executed:
            self.problems.append(f"{name}: executed {problem['executed']}")
        send = name.replace(" ", "-")
        ran = any(run.send == send for run in self.harness.executions())
        if ran and problem["executed"] == "no":
            self.problems.append(f"{name} ran, but was refused as not executed")
