"""Stand-in for an application upstream, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Callable
from typing import Any

from standins import http

HEARTBEAT_SECONDS = 1.5
QUEUE = 24
SLOTS = 3


@dataclasses.dataclass
class Arrival:
    """A request that reached an upstream.

    Attributes:
        at: Time of its arrival in seconds.
        upstream: Id of the upstream's boot.
        machine: Machine of the upstream.
        id: Id of the request.
        head: Request line.
        fields: Its headers.
        status: Status of the answer, 0 before it.
        ran: Whether the upstream began to work on it.
    """

    at: float
    upstream: str
    machine: str
    id: str
    head: str
    fields: dict[str, str]
    status: int = 0
    ran: bool = False


class Upstream:
    """One upstream, which may start again as another boot.

    Args:
        machine: Name of its machine.
        service: Its service.
        address: Address on which it listens.
        control: Address of its machine's node for check-ins.
        log: Called with a line of text for each event.

    Attributes:
        arrivals: All requests that reached it.
        work_seconds: Returns for how long it works on a request.
        crashes: Returns whether a request crashes it.
        beating: Whether it sends check-ins.
        crashed_at: Times of its crashes.
    """

    def __init__(
        self,
        machine: str,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        log: Callable[[str], None],
    ):
        self.machine = machine
        self.service = service
        self.address = address
        self.control = control
        self.log = log
        self.arrivals: list[Arrival] = []
        self.work_seconds: Callable[[str], float] = lambda head: 0.05
        self.crashes: Callable[[str], bool] = lambda head: False
        self.crashed_at: list[float] = []
        self.beating = True
        self._boots = 0
        self._waiting = 0
        self._server: Any = None
        self._connections: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts a new boot with a new id."""
        self._boots += 1
        self.id = f"i-{self.machine}-{self._boots}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = await asyncio.start_server(
            self._connected, *self.address, limit=http.MAX_HEAD_BYTES
        )
        self._beats = asyncio.create_task(self._beat())

    # Check-ins.

    def check_in(self, state: str = "ready") -> dict[str, Any]:
        """Returns the next check-in."""
        self.sequence += 1
        host, port = self.address
        return {
            "address": f"{host}:{port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "zone-a",
                "slots": SLOTS,
            },
            "status": {
                "state": state,
                "sequence": self.sequence,
                "cold_remaining_s": 0,
            },
        }

    async def send_check_in(self, content: dict[str, Any], id: str = "") -> int:
        """Sends a check-in; returns the status of the answer."""
        path = f"/-/instances/{id or self.id}/heartbeat"
        return await http.call_json(self.control, path, content)

    async def deregister(self) -> int:
        """Deregisters and sends no check-ins from now on."""
        self.beating = False
        path = f"/-/instances/{self.id}/deregister"
        return await http.call_json(self.control, path, {"born": self.born})

    async def _beat(self) -> None:
        while True:
            if self.beating:
                await self.send_check_in(self.check_in())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    # Requests.

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (message := await http.read_head(reader)) is not None:
                await http.read_body(reader, message)
                await self._respond(reader, writer, message)
        self._writers.discard(writer)
        writer.close()

    async def _respond(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        message: http.Message,
    ) -> None:
        """Answers a request, or drops it when its connection closes."""
        working = asyncio.ensure_future(self._run(message))
        closing = asyncio.ensure_future(reader.read(1))
        await asyncio.wait(
            (working, closing), return_when=asyncio.FIRST_COMPLETED
        )
        closing.cancel()
        await asyncio.gather(closing, return_exceptions=True)
        if not working.done():
            working.cancel()
            raise ConnectionResetError
        writer.write(working.result())
        await writer.drain()

    async def _run(self, message: http.Message) -> bytes:
        fields = message.headers
        id = fields.get("cicadafront-request-id", "")
        arrival = Arrival(
            time.monotonic(), self.id, self.machine, id, message.start, fields
        )
        self.arrivals.append(arrival)
        not_run = {"Cicadafront-Not-Executed": "1"}
        if fields.get("cicadafront-expect-instance", self.id) != self.id:
            return self._answer(arrival, 421, not_run)
        if not id:
            return self._answer(arrival, 400, not_run)
        if self._waiting >= QUEUE:
            return self._answer(arrival, 503, not_run)
        ends = (
            time.monotonic()
            + float(fields.get("cicadafront-deadline-ms", "5000")) / 1000
        )
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() >= ends:
                return self._answer(arrival, 503, not_run)
            arrival.ran = True
            self.log(f"{self.id} runs {id} {message.start}")
            if self.crashes(message.start):
                await self.crash()
            work = self.work_seconds(message.start)
            left = ends - time.monotonic()
            await asyncio.sleep(min(work, left))
            return self._answer(arrival, 504 if work > left else 200, {})
        finally:
            self._slots.release()

    def _answer(
        self, arrival: Arrival, status: int, fields: dict[str, str]
    ) -> bytes:
        arrival.status = status
        headers = {"Cicadafront-Request-Id": arrival.id, **fields}
        if arrival.ran:
            headers["Cicadafront-Server-Stamp"] = f"{self.id}.{arrival.id}"
        body = f"{arrival.id} at {self.id}".encode()
        return http.encode(f"HTTP/1.1 {status} Done", headers, body)

    # Ends.

    async def crash(self, seconds: float = 2.0) -> None:
        """Ends without a word and is back after some seconds as a new boot."""
        self.log(f"{self.id} crashes")
        self.crashed_at.append(time.monotonic())
        self.stop()
        asyncio.get_running_loop().call_later(
            seconds, lambda: asyncio.ensure_future(self.start())
        )
        await asyncio.sleep(0)
        raise ConnectionResetError

    def stop(self) -> None:
        """Ends: closes the port and resets all connections."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
