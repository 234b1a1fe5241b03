"""Test doubles of targets and the store, and the daemons of one soak."""

import json
import pathlib
import random
from typing import Any

import attrs
import h11
import treq
from twisted.internet import defer, protocol, task

from cicadafront.emulator import processes
from cicadafront.membership import registration
from tests.platform import standin
from tests.soak import checks, proxy

HOST = proxy.HOST
SERVICE = "reads"
SLOTS = 3
WORK_SECONDS = 0.02
HEARTBEAT_INTERVAL_SECONDS = 1.0
FAULTS = ("stall", "reset", "error", "short", "extra", "shed")
ENDLESS_FAULTS = ("endless body", "endless head")
TRUNCATED_HEAD = "cut head"
DUPLICATE_REFUSAL = "repeated refusal"
# Each of these groups has its own random source, so that its faults leave those
# of `FAULTS` for the same seed unchanged.
ADDITIONAL_FAULTS = {
    "later": ENDLESS_FAULTS,
    "heads": (TRUNCATED_HEAD, DUPLICATE_REFUSAL),
}
STORE_FAULTS = ("hangs", "mute", "odd")
MALFORMED_ENTRIES = (
    b"[" * 100_000,
    b'{"gossip": ["127.0.0.1", 1e999]}',
    b'{"gossip": ["127.0.0.1", 99999999]}',
    b'{"gossip": ["127.0.0.1", -1], "target": 3}',
    b"\xff",
)
_STALL_SECONDS = 10.0
# Chunks of an endless response, and the interval between them.
_CHUNK = b"A: " + b"x" * 16381 + b"\r\n"
_CHUNK_INTERVAL_SECONDS = 0.01


class Store(standin.StoreStandIn):
    """The test double of the platform's store with further faults.

    Attributes:
        forgets: Whether watches fail because the history is compacted.
        hangs: Whether calls are accepted and never get a response.
        mute: Whether this happens to watches only.
        malformed_count: Number of malformed entries written.
    """

    forgets = False
    hangs = False
    mute = False
    malformed_count = 0

    def write_malformed(self) -> None:
        """Writes a malformed entry below the prefix of the instances."""
        self.malformed_count += 1
        malformed = MALFORMED_ENTRIES[
            self.malformed_count % len(MALFORMED_ENTRIES)
        ]
        self.write(
            f"{registration.PREFIX}odd{self.malformed_count % 4}", malformed
        )

    def _answer(self, request: Any, status: int, body: Any) -> Any:
        if self.hangs:
            return defer.Deferred()
        return super()._answer(request, status, body)

    def kv_watch(self, request: Any, query: Any, content: Any) -> Any:
        """Waits for a change, unless the history is compacted."""
        if self.mute:
            return defer.Deferred()
        if self.forgets:
            return self._answer(request, 410, {})
        return super().kv_watch(request, query, content)


class Target(protocol.Factory):
    """One target, which may be restarted under a new id.

    Attributes:
        fault: Current fault, empty for none.
        fault_share: Share of the requests that the fault affects.
        refused_id: Id of the last request that it refused.
        leaving: Whether its heartbeats say that it is draining.
    """

    noisy = False

    def __init__(
        self, reactor: Any, instance: str, history: checks.History, seed: int
    ):
        self.instance = instance
        self.history = history
        self.reactor = reactor
        self.fault = ""
        self.fault_share = 1.0
        self.refused_id = "none"
        self.running = 0
        self.rng = random.Random(seed)
        self.incarnation = 0
        self.leaving = False
        self.sequence = 0
        self.heartbeats = 0
        self.port = reactor.listenTCP(0, self, interface=HOST)
        self.proxy = proxy.Proxy(reactor, self.port.getHost().port)
        self.start()

    @property
    def id(self) -> str:
        """Id of the current incarnation."""
        return f"{self.instance}-t{self.incarnation}"

    def start(self) -> None:
        """Starts a new incarnation."""
        self.incarnation += 1
        self.leaving = False
        self.sequence = 0

    def buildProtocol(self, addr: Any) -> "_Connection":  # noqa: N802
        return _Connection(self)

    async def send_heartbeat(self, port: int) -> None:
        """Sends one heartbeat to the instance."""
        self.sequence += 1
        id, leaving = self.id, self.leaving
        body = {
            "address": f"{HOST}:{self.proxy.port}",
            "info": {"service": SERVICE, "slots": SLOTS},
            "status": {
                "state": "draining" if leaving else "ready",
                "sequence": self.sequence,
            },
            "born": self.incarnation,
        }
        url = f"http://{HOST}:{port}/-/instances/{id}/heartbeat"
        try:
            response = await treq.post(
                url, data=json.dumps(body).encode(), timeout=1.0
            )
            await response.content()
        except Exception:  # noqa: BLE001
            # The instance may be down, paused or unreachable; the next
            # heartbeat follows soon.
            return
        if leaving and response.code == 200:
            now = self.reactor.seconds()
            self.history.drain_acknowledged.setdefault(id, now)


class _Connection(protocol.Protocol):
    """Server side of one connection to a target."""

    def __init__(self, target: Target):
        self.target = target
        self.http = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.responded = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.http.receive_data(data)
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError:
                self.transport.abortConnection()
                return
            match event:
                case h11.Request():
                    self.request = event
                case h11.EndOfMessage():
                    self.run()
                case h11.Data():
                    pass
                case _:
                    return

    def run(self) -> None:
        """Starts to run a request, or refuses it."""
        target, request = self.target, self.request
        fields = {k.decode(): v.decode() for k, v in request.headers}
        id = fields.get("cicadafront-request-id", "")
        target.history.arrivals.append((id, target.reactor.seconds()))
        expected = fields.get("cicadafront-expect-instance", target.id)
        if expected != target.id:
            self.respond(421, id, "other", {"Cicadafront-Not-Executed": "1"})
            return
        fault = target.fault
        if target.rng.random() >= target.fault_share:
            fault = ""
        if fault == "shed" or target.running >= 3 * SLOTS:
            target.refused_id = id
            self.respond(503, id, "full", {"Cicadafront-Not-Executed": "1"})
            return
        request_line = f"{request.method.decode()} {request.target.decode()}"
        run = checks.Run(
            id=id,
            request_line=request_line,
            target=target.id,
            instance=target.instance,
            account=fields.get("cicadafront-tenant", ""),
            key_forwarded="cicadafront-key" in fields,
            began=target.reactor.seconds(),
        )
        target.history.runs.append(run)
        target.running += 1
        seconds = WORK_SECONDS * target.rng.uniform(0.5, 2.0)
        if fault == "stall":
            seconds = _STALL_SECONDS
        if fault == DUPLICATE_REFUSAL and target.rng.random() < 0.5:
            self.send_duplicate_refusal()
        target.reactor.callLater(seconds, self.finish, run, fault)

    def finish(self, run: checks.Run, fault: str) -> None:
        """Finishes a run and sends the response, or causes the fault."""
        self.target.running -= 1
        if self.transport is None or not self.transport.connected:
            return
        if fault == "reset":
            self.transport.abortConnection()
            return
        run.status = 500 if fault == "error" else 200
        stamp = {"Cicadafront-Server-Stamp": checks.stamp_of(run)}
        body = checks.body_of(run)
        head = f"HTTP/1.1 200 OK\r\nCicadafront-Request-Id: {run.id}\r\n"
        head += f"Cicadafront-Server-Stamp: {checks.stamp_of(run)}\r\n"
        length = f"Content-Length: {len(body)}\r\n"
        if fault in ENDLESS_FAULTS:
            end = "\r\n" if fault == "endless body" else ""
            self.transport.write((head + end).encode())
            self.send_endlessly()
            return
        if fault in ("short", TRUNCATED_HEAD):
            sent = head + length + "\r\n" + body[:-3]
            if fault == TRUNCATED_HEAD:
                end = self.target.rng.choice(("", length)) + "\r\n"
                sent = head + end
                sent = sent[: self.target.rng.randrange(1, len(sent))]
            self.transport.write(sent.encode())
            self.transport.loseConnection()
            return
        if fault == DUPLICATE_REFUSAL:
            # Written together with the response, so that the agent can read
            # both at once.
            self.send_duplicate_refusal(self.target.rng.choice(("", run.id)))
        self.respond(run.status, run.id, body, stamp)
        if fault == "extra":
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
            )

    def send_duplicate_refusal(self, own: str = "") -> None:
        """Writes a refusal that belongs to no pending request.

        It carries the id of the last refused request, or `own`. On a
        connection that was used before it may carry none.
        """
        id = f"Cicadafront-Request-Id: {own or self.target.refused_id}\r\n"
        if self.responded and not own and self.target.rng.random() < 0.5:
            id = ""
        self.transport.write(
            b"HTTP/1.1 503 Full\r\nCicadafront-Not-Executed: 1\r\n"
            b"%sContent-Length: 4\r\n\r\nfull" % id.encode()
        )

    def send_endlessly(self) -> None:
        """Sends chunks until the connection is closed."""
        if self.transport is not None and self.transport.connected:
            self.transport.write(_CHUNK)
            self.target.reactor.callLater(
                _CHUNK_INTERVAL_SECONDS, self.send_endlessly
            )

    def respond(
        self, status: int, id: str, body: str, fields: dict[str, str]
    ) -> None:
        """Sends a complete response."""
        self.responded = True
        headers = [
            ("Content-Length", str(len(body))),
            ("Cicadafront-Request-Id", id),
            *fields.items(),
        ]
        head = h11.Response(status_code=status, headers=headers)
        out = self.http.send(head) + self.http.send(h11.Data(body.encode()))
        self.transport.write(out + (self.http.send(h11.EndOfMessage()) or b""))
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.transport.loseConnection()


@attrs.define
class Instance:
    """One daemon with its target.

    Attributes:
        name: Name of the instance.
        target: The target.
        store: Proxy in front of the store.
        folder: Folder of the settings and the logs.
        ports: Ports by listener.
        process: The daemon's process; it may be down while `stopping` is set.
        stopping: Whether the soak has stopped or killed the process.
        starts: Number of starts.
    """

    name: str
    target: Target
    store: proxy.Proxy
    folder: pathlib.Path
    ports: dict[str, int] = attrs.field(factory=dict)
    process: processes.ManagedProcess | None = None
    stopping: bool = False
    starts: int = 0

    def start(self) -> None:
        """Starts the daemon."""
        if not self.ports:
            names = ("edge", "peer", "heartbeats", "readiness", "metrics")
            self.ports = {name: processes.free_port() for name in names}
        path = self.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        self.starts += 1
        self.process = processes.ManagedProcess(
            self.name,
            ["cicadafront.daemon", "--settings", str(path)],
            self.folder,
        )
        self.process.start()
        self.stopping = False

    def settings(self) -> str:
        """Returns the content of the settings file."""
        ports = {**self.ports, "gossip": self.ports["peer"]}
        lines = [f'{name} = "{HOST}:{port}"' for name, port in ports.items()]
        return "\n".join(
            [
                f'instance = "{self.name}"',
                'data_centre = "a"',
                "[addresses]",
                *lines,
                "[sidecar]",
                f'store = "{HOST}:{self.store.port}"',
                f'target = "{HOST}:{self.target.proxy.port}"',
                f'service = "{SERVICE}"',
                f"retry_extra = {checks.RETRY_EXTRA}",
                "",
            ]
        )

    async def send_heartbeats(self, reactor: Any) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            await self.target.send_heartbeat(self.ports["heartbeats"])
            await task.deferLater(reactor, HEARTBEAT_INTERVAL_SECONDS)


def sleep(reactor: Any, seconds: float) -> "defer.Deferred[None]":
    """Returns a Deferred that fires after a time."""
    return task.deferLater(reactor, seconds, lambda: None)
