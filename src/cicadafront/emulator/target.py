"""Emulated target with fault injection.

It responds to every path and records the requests that it runs. `PUT
/_emulator/fault` sets its fault. Run it with
`python -m cicadafront.emulator.target`.
"""

import argparse
import base64
import hashlib
import json
import os
import random
import sys
import urllib.parse
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet import protocol
from twisted.internet import reactor as default_reactor
from twisted.python import failure

from cicadafront.emulator import announcer, faults, target_state

CRASH_HEADER = b"x-emulator-crash"
CRASH_EXIT_CODE = 70
# A request body is kept until it has this size, for the emulator's own paths.
BODY_PREFIX_BYTES = 64 * 1024
ERROR_BODY = b'{"error": "internal"}'


def _query(path: str) -> dict[str, str]:
    query = urllib.parse.urlsplit(path).query
    return dict(urllib.parse.parse_qsl(query))


def content_digest(body: bytes) -> bytes:
    """Returns the `Content-Digest` value of a body (RFC 9530)."""
    digest = base64.b64encode(hashlib.sha256(body).digest())
    return b"sha-256=:" + digest + b":"


class TargetProtocol(protocol.Protocol):
    """One connection to the emulated target."""

    transport: Any

    def __init__(
        self,
        state: target_state.TargetState,
        clock: Any,
        crash: Callable[[], None],
    ):
        self.state = state
        self.clock = clock
        self.crash = crash
        self.connection = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.digest = hashlib.sha256()
        self.length = 0
        self.body_prefix = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes received bytes to the HTTP parser."""
        self.connection.receive_data(data)
        self.process()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Drops the current request, so that no response is sent."""
        self.request = None

    def process(self) -> None:
        """Handles all events that the parser has available."""
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError:
                self.transport.loseConnection()
                return
            match event:
                case h11.Request():
                    self.begin(event)
                case h11.Data():
                    self.digest.update(event.data)
                    self.length += len(event.data)
                    if len(self.body_prefix) < BODY_PREFIX_BYTES:
                        self.body_prefix += event.data
                case h11.EndOfMessage():
                    self.dispatch()
                case h11.ConnectionClosed():
                    self.transport.loseConnection()
                    return
                case _:
                    return

    def begin(self, request: h11.Request) -> None:
        """Starts a request; confirms `Expect: 100-continue`."""
        self.request = request
        self.digest = hashlib.sha256()
        self.length = 0
        self.body_prefix = bytearray()
        headers = dict(request.headers)
        if headers.get(b"expect", b"").lower() == b"100-continue":
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self.transport.write(self.connection.send(informational) or b"")

    def dispatch(self) -> None:
        """Handles a completely received request."""
        assert self.request is not None
        path = self.request.target.decode()
        if path.startswith(target_state.ADMIN_PREFIX):
            body = target_state.admin(
                self.state, path, bytes(self.body_prefix), self.clock
            )
            self.respond(200, body)
            return
        state = self.state
        headers = dict(self.request.headers)
        run = target_state.Run(
            method=self.request.method.decode(),
            path=path,
            key=headers.get(b"idempotency-key", b"").decode(),
            account=headers.get(b"x-client-account", b"").decode(),
            request_id=headers.get(b"x-exchange-id", b"").decode(),
            send_id=headers.get(b"x-send-id", b"").decode(),
            digest=self.digest.hexdigest(),
            length=self.length,
            headers=sorted(name.decode() for name in headers),
        )
        state.keys_seen += b"authorization" in headers
        state.begin(run)
        if CRASH_HEADER in headers:
            self.crash()
            return
        self.serve(run, _query(path))

    def serve(self, run: target_state.Run, query: dict[str, str]) -> None:
        """Applies the active fault and schedules the response."""
        state = self.state
        now = self.clock.seconds()
        fault = state.plan.active(now, state.rng.random())
        if fault is faults.Fault.STALL:
            return
        if fault is faults.Fault.RESET:
            self.transport.abortConnection()
            return
        if fault is faults.Fault.SHED:
            self.respond(503, b'{"error": "overloaded"}')
            return
        state.running += 1
        delay = float(query.get("delay", 0)) / 1000
        delay = delay or state.delay(now, fault)
        self.clock.callLater(delay, self.finish, run, query, fault)

    def finish(
        self, run: target_state.Run, query: dict[str, str], fault: faults.Fault
    ) -> None:
        """Sends the response of a run."""
        state = self.state
        state.running -= 1
        body = json.dumps(
            {
                "target": state.id,
                "path": run.path,
                "received": run.length,
                "sha256": run.digest,
                "serial": len(state.runs),
            }
        ).encode()
        if "bytes" in query:
            # Pseudo-random, so that reordered chunks change the digest.
            body = random.Random(run.path).randbytes(int(query["bytes"]))
        if fault is faults.Fault.ERROR:
            body = ERROR_BODY
        state.record_response(run, hashlib.sha256(body).hexdigest())
        if self.request is None:
            return
        previous, state.last_response = state.last_response, body
        match fault:
            case faults.Fault.ERROR:
                self.respond(500, body)
            case faults.Fault.CROSS:
                self.respond(200, previous, request_id=b"crossed")
            case faults.Fault.GARBAGE:
                self.transport.write(b"\x00\x17garbage\r\n\r\n")
                self.transport.loseConnection()
            case faults.Fault.TRUNCATE:
                self.respond(200, body, truncate_at=len(body) // 2)
            case faults.Fault.MANGLE:
                flipped = bytes([body[0] ^ 1]) + body[1:]
                self.respond(200, flipped, digest_of=body)
            case _:
                self.respond(200, body)

    def respond(
        self,
        status: int,
        body: bytes,
        *,
        truncate_at: int | None = None,
        digest_of: bytes | None = None,
        request_id: bytes | None = None,
    ) -> None:
        """Sends a response.

        Args:
            status: HTTP status.
            body: Response body.
            truncate_at: Bytes of the body after which the connection closes.
            digest_of: Body for the `Content-Digest` header; `body` by default.
            request_id: Exchange id; that of the request by default.
        """
        assert self.request is not None
        exchange_id = dict(self.request.headers).get(b"x-exchange-id", b"")
        headers = [
            (b"content-length", str(len(body)).encode()),
            (b"content-type", b"application/json"),
            (b"content-digest", content_digest(digest_of or body)),
            (b"x-exchange-id", request_id or exchange_id),
        ]
        head = h11.Response(status_code=status, headers=headers)
        out = self.connection.send(head) or b""
        if truncate_at is not None:
            out += (
                self.connection.send(h11.Data(data=body[:truncate_at])) or b""
            )
            self.transport.write(out)
            self.transport.loseConnection()
            return
        if self.request.method != b"HEAD":
            out += self.connection.send(h11.Data(data=body)) or b""
        out += self.connection.send(h11.EndOfMessage()) or b""
        self.transport.write(out)
        if self.connection.our_state is h11.MUST_CLOSE:
            self.transport.loseConnection()
        elif self.connection.our_state is h11.DONE:
            self.connection.start_next_cycle()


class TargetFactory(protocol.Factory):
    """Creates the connections of one emulated target."""

    def __init__(
        self,
        state: target_state.TargetState,
        clock: Any,
        crash: Callable[[], None] | None = None,
    ):
        self.state = state
        self.clock = clock
        self.crash = crash or (lambda: os._exit(CRASH_EXIT_CODE))
        state.started = clock.seconds()

    def buildProtocol(self, addr: object) -> TargetProtocol:  # noqa: N802
        """Returns the protocol of one connection."""
        return TargetProtocol(self.state, self.clock, self.crash)


def parse(arguments: list[str]) -> argparse.Namespace:
    """Parses the command-line options."""
    parser = argparse.ArgumentParser(
        prog="python -m cicadafront.emulator.target", description=__doc__
    )
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--service-time-ms", type=float, default=5.0)
    parser.add_argument("--cold-seconds", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--run-log", help="file for the log of runs")
    parser.add_argument(
        "--announce", help="URL for announcements to the instance"
    )
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Runs an emulated target until it is terminated."""
    options = parse(sys.argv[1:] if arguments is None else arguments)
    state = target_state.TargetState(
        options.id,
        options.service,
        slots=options.slots,
        service_time=options.service_time_ms / 1000,
        cold_seconds=options.cold_seconds,
        rng=random.Random(options.seed),
    )
    if options.run_log:
        state.run_log = open(options.run_log, "ab", buffering=0)  # noqa: SIM115
    reactor: Any = default_reactor
    factory = TargetFactory(state, reactor)
    reactor.listenTCP(options.port, factory, interface=options.host)
    if options.announce:
        url = f"{options.announce.rstrip('/')}/{options.id}"
        address = f"{options.host}:{options.port}"
        announcer.Announcer(state, url, address).start(reactor)
    print(f"target {options.id}: listening on {options.port}", flush=True)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
