"""HTTP/1.1 for the stand-ins, on asyncio."""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import Awaitable, Callable
from typing import Any

MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass
class Message:
    """A request or a response; names of headers are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def path(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body of a message with a length or in chunks."""
    if "content-length" in message.headers:
        length = int(message.headers["content-length"])
        message.body = await reader.readexactly(length)
    elif message.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readline(), 16)
            message.body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a message with a Content-Length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 5.0,
) -> Message | None:
    """Sends a request on a new connection.

    Returns:
        The response, or None if no complete one arrived in time.
    """
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
    ):
        async with asyncio.timeout(seconds):
            return await _call(address, method, path, headers, body)
    return None


async def _call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> Message | None:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        response = await read_head(reader)
        if response is not None:
            await read_body(reader, response)
        return response
    finally:
        writer.close()


async def call_json(
    address: tuple[str, int], path: str, content: Any, seconds: float = 1.0
) -> int:
    """Posts a JSON document; returns the status, or 0 without an answer."""
    host = {"Host": "control", "Content-Type": "application/json"}
    body = json.dumps(content).encode()
    response = await call(address, "POST", path, host, body, seconds)
    return response.status if response is not None else 0


Handler = Callable[[Message], Awaitable[bytes]]


async def serve(address: tuple[str, int], handler: Handler) -> Any:
    """Serves requests on persistent connections."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (message := await read_head(reader)) is not None:
                await read_body(reader, message)
                writer.write(await handler(message))
                await writer.drain()
        writer.close()

    return await asyncio.start_server(connected, *address, limit=MAX_HEAD_BYTES)
