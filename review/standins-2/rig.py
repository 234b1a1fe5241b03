"""Stand-ins of the platform, targets and clients, and daemons as processes.

All of them listen on 127.0.0.1. Only the standard library is used.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.5
PORTS_PER_CASE = 220
HELD, BROKEN, NOT_RUN = 0, 1, 2
Headers = dict[str, str]

_used_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP.

    They lie below the range from which the system takes the ports of outgoing
    connections. Cases that run side by side mostly draw from other blocks.
    """
    found: list[int] = []
    first = 10_000 + os.getpid() % 100 * PORTS_PER_CASE
    while len(found) < count:
        port = random.randrange(first, first + PORTS_PER_CASE)
        if port in _used_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as tried:
                    tried.bind((HOST, port))
        except OSError:
            continue
        _used_ports.add(port)
        found.append(port)
    return found


class Record:
    """Writes the events of a case, with times from its start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self.start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.start

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes one line and prints it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Reads a start line and fields; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader: asyncio.StreamReader, fields: Headers) -> bytes:
    """Reads a body with a length or in chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def answer(status: int, body: bytes, fields: Headers | None = None) -> bytes:
    """Returns an HTTP answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store, with a separate address for each machine.

    Attributes:
        modes: Impairment of each machine: "" for none, "silent" for no
            answers, "busy" for status 503.
        delays: Seconds by which the answers to each machine are late.
        lose_write: Called with a machine and the keys of a write; returns
            None for a normal answer, or the seconds after which the write is
            done. It then gets no answer.
    """

    def __init__(self, record: Record):
        self.record = record
        self.modes: collections.defaultdict[str, str] = collections.defaultdict(
            str
        )
        self.delays: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self.lose_write: Callable[[str, list[dict[str, Any]]], float | None] = (
            lambda machine, puts: None
        )
        self._revision = 10
        self._items: dict[str, dict[str, Any]] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, machine: str, port: int) -> None:
        """Listens for the calls of one machine."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        self._servers.append(await asyncio.start_server(serve, HOST, port))

    def configure(self, document: dict[str, Any]) -> None:
        """Writes the operators' configuration."""
        self.put("op/config", json.dumps(document).encode())
        self.record.write(f"store: configuration {document['version']}")

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key."""
        self._revision += 1
        former = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self._revision,
            "created": former["created"] if former else self._revision,
            "lease": lease,
        }
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key."""
        item = self._items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def lapse(self) -> None:
        """Ends all leases, which removes their keys."""
        for id, (seconds, _) in self._leases.items():
            self._leases[id] = seconds, 0.0
        self._expire()

    def close(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.close()

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                if self.modes[machine] == "silent":
                    await reader.read()
                    break
                if self.modes[machine] == "busy":
                    writer.write(answer(503, b""))
                    continue
                self._expire()
                reply = await self._call(machine, method, target, body)
                if reply is None or self.modes[machine] == "silent":
                    await reader.read()
                    break
                await asyncio.sleep(self.delays[machine] + 0.002)
                status, document = reply
                writer.write(answer(status, json.dumps(document).encode()))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            writer.close()

    def _expire(self) -> None:
        now = time.monotonic()
        ended = {id for id, (_, end) in self._leases.items() if end < now}
        for id in ended:
            del self._leases[id]
        for key, item in list(self._items.items()):
            if item["lease"] in ended:
                del self._items[key]
                self._revision += 1

    def _found(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and item["rev"] > after
        ]

    async def _call(
        self, machine: str, method: str, target: str, body: bytes
    ) -> tuple[int, dict[str, Any]] | None:
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        kind = path.split("/")[2]
        content = json.loads(body) if body else {}
        if kind == "kv-key":
            item = self._items.get(query["key"])
            revision = {"store_revision": self._revision}
            return (200, {**item, **revision}) if item else (404, revision)
        if kind == "kv-range":
            after = query.get("after", "")
            items = [
                item
                for item in self._found(query["path_prefix"], 0)
                if item["key"] > after
            ]
            return 200, {
                "items": items,
                "has_more": False,
                "store_revision": self._revision,
            }
        if kind == "kv-watch":
            return await self._watch(query)
        if kind == "kv-txn":
            return self._transact(machine, content)
        if kind == "kv-lease":
            id = len(self._leases) + self._revision * 1000 + 1
            seconds = float(content["ttl_s_time"])
            self._leases[id] = seconds, time.monotonic() + seconds
            return 200, {"lease": id, "ttl_s_time": seconds}
        id = int(path.split("/")[3])
        if id not in self._leases:
            return 404, {}
        seconds, _ = self._leases.pop(id)
        if kind == "kv-keep":
            self._leases[id] = seconds, time.monotonic() + seconds
        return 200, {}

    async def _watch(self, query: Headers) -> tuple[int, dict[str, Any]]:
        prefix, after = query["path_prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while not (found := self._found(prefix, after)):
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        return 200, {"events": found, "store_revision": self._revision}

    def _transact(
        self, machine: str, content: dict[str, Any]
    ) -> tuple[int, dict[str, Any]] | None:
        puts = content["puts"]
        delay = self.lose_write(machine, puts)
        if delay is not None:
            names = [put["key"] for put in puts]
            self.record.say(
                f"store: the answer to a write of {names} is lost; it is done "
                f"{delay:g} s later"
            )
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._write_late, puts)
            return None
        for expected in content.get("expected", []):
            item = self._items.get(expected["key"])
            if (item["rev"] if item else 0) != expected["rev"]:
                return 412, {"items": [item] if item else []}
        if any(
            put["lease"] and put["lease"] not in self._leases for put in puts
        ):
            return 404, {}
        for key in content.get("remove", []):
            self._items.pop(key, None)
        self._write(puts)
        return 200, {"rev": self._revision}

    def _write_late(self, puts: list[dict[str, Any]]) -> None:
        self._expire()
        if all(put["lease"] in (0, *self._leases) for put in puts):
            self._write(puts)
            self.record.say("store: the late write is done")

    def _write(self, puts: list[dict[str, Any]]) -> None:
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put["lease"])


class Run:
    """One request that a target began to run."""

    def __init__(self, at: float, target: str, line: str, fields: Headers):
        self.at = at
        self.target = target
        self.line = line
        self.fields = fields
        self.id = fields.get("cicadafront-request-id", "")


class Target:
    """An application upstream beside one machine.

    Attributes:
        id: Its instance id.
        runs: Requests that it began to run.
        work_seconds: Time for which it works on a request.
        beats: Whether it sends heartbeats.
    """

    def __init__(
        self, record: Record, id: str, service: str, slots: int, zone: str
    ):
        self.record = record
        self.id = id
        self.service = service
        self.slots = slots
        self.zone = zone
        self.runs: list[Run] = []
        self.work_seconds = 0.03
        self.beats = True
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.port = 0
        self.control = 0
        self.handle: (
            Callable[
                [Target, Run, bytes, asyncio.StreamWriter], Awaitable[bool]
            ]
            | None
        ) = None
        self._sequence = 0
        self._busy = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None

    async def listen(self, port: int) -> None:
        """Starts to serve."""
        self.port = port
        self._server = await asyncio.start_server(self._serve, HOST, port)

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                if await self.refuses_early(head[1], writer):
                    await read_body(reader, head[1])
                    continue
                body = await read_body(reader, head[1])
                if not await self._run(head[0], head[1], body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            writer.close()

    async def refuses_early(
        self, fields: Headers, writer: asyncio.StreamWriter
    ) -> bool:
        """Refuses a request before its body is read, if it is to."""
        return False

    async def _run(
        self,
        line: str,
        fields: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        id = fields.get("cicadafront-request-id", "")
        expected = fields.get("cicadafront-expect-instance", self.id)
        refusal = 0
        if expected != self.id:
            refusal = 421
        elif self._busy >= 4 * self.slots:
            refusal = 503
        if refusal:
            writer.write(
                answer(
                    refusal,
                    b"",
                    {
                        "Cicadafront-Not-Executed": "1",
                        "Cicadafront-Request-Id": id,
                    },
                )
            )
            return True
        self._busy += 1
        try:
            async with self._free:
                run = Run(self.record.now(), self.id, line, fields)
                self.runs.append(run)
                self.record.write(
                    f"target {self.id}: runs {id} {line.split(' ')[1]}"
                )
                if self.handle is not None:
                    return await self.handle(self, run, body, writer)
                await asyncio.sleep(self.work_seconds)
                self.reply(writer, run)
                return True
        finally:
            self._busy -= 1

    def reply(
        self, writer: asyncio.StreamWriter, run: Run, body: bytes = b"ok"
    ) -> None:
        """Sends the answer to a run."""
        writer.write(
            answer(
                200,
                body,
                {
                    "Cicadafront-Request-Id": run.id,
                    "Cicadafront-Server-Stamp": f"{self.id}.{run.id}",
                    "Cicadafront-Server-Load": f"{self._busy},0,{self.slots}",
                },
            )
        )

    def _body(self) -> dict[str, Any]:
        self._sequence += 1
        return {
            "address": f"{HOST}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold_remaining_s": 0,
            },
        }

    async def say(
        self, kind: str, body: dict[str, Any] | None = None
    ) -> int | None:
        """Sends a heartbeat or a deregistration; returns the status."""
        content = json.dumps(body or self._body()).encode()
        path = f"/-/instances/{self.id}/{kind}"
        try:
            status, _, _ = await call(
                self.control,
                "POST",
                path,
                {"Content-Type": "application/json"},
                content,
                1.0,
            )
        except (OSError, TimeoutError, EOFError):
            return None
        return status

    def prepare(self) -> dict[str, Any]:
        """Returns the body of a heartbeat that is sent later."""
        return self._body()

    async def beat(self) -> None:
        """Sends heartbeats until it is cancelled."""
        while True:
            if self.beats:
                await self.say("heartbeat")
            await asyncio.sleep(HEARTBEAT_SECONDS if self.beats else 0.05)


async def call(
    port: int,
    method: str,
    path: str,
    fields: Headers,
    body: bytes,
    seconds: float,
) -> tuple[int, Headers, bytes]:
    """Sends a request on a new connection and returns the whole answer.

    Raises:
        EOFError: The connection ended before the whole answer.
    """
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            if "Host" not in fields:
                lines.append(f"Host: {HOST}:{port}")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                raise EOFError("the connection ended without an answer")
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1])
        finally:
            writer.close()


_SECTION = re.compile(r"\{\{([#^])([a-z_.0-9]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)


def _with_sections(template: str, values: dict[str, str]) -> str:
    """Renders the sections of a template as DEPLOY.md says.

    A value of the machine is not a list or table, so that each section has at
    most one entry.
    """

    def rendered(match: re.Match[str]) -> str:
        kind, name, text = match.groups()
        if kind == "^":
            return "" if name in values else text
        return text.replace("{{.}}", values[name]) if name in values else ""

    return _SECTION.sub(rendered, template)


class Machine:
    """One machine: a daemon, its settings and the target beside it."""

    def __init__(self, fleet: "Fleet", number: int, service: str, zone: str):
        self.fleet = fleet
        self.name = f"sidecar-{zone}-{number}"
        self.zone = zone
        ports = free_ports(7)
        names = ("edge", "ready", "control", "peer", "metrics", "target")
        self.ports = dict(zip(names, ports, strict=False))
        self.store_port = ports[6]
        self.target = fleet.target_class(
            fleet.record, f"i-{number:04d}", service, fleet.slots, zone
        )
        self.target.control = self.ports["control"]
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    def write_settings(self) -> pathlib.Path:
        """Renders deploy/settings.toml with the values of the machine."""
        text = (ROOT / "deploy" / "settings.toml").read_text()
        ports, bounds = self.ports, self.fleet.bounds
        values = {
            "node_name|json": json.dumps(self.name),
            "zone|json": json.dumps(self.zone),
            "ip": HOST,
            "internal_ports.0": str(ports["peer"]),
            "platform.address|json": json.dumps(f"{HOST}:{self.store_port}"),
            "upstream_address|json": json.dumps(f"{HOST}:{ports['target']}"),
            "service|json": json.dumps(self.target.service),
        }
        for name, key in (
            ("outbound", "edge"),
            ("readiness", "ready"),
            ("control", "control"),
        ):
            address = json.dumps(f"{HOST}:{ports[key]}")
            values[f"listen.{name}|json"] = address
        values |= {f"bounds.{name}": str(v) for name, v in bounds.items()}
        text = text.replace("{{ip}}:7002", f"{HOST}:{ports['metrics']}")
        text = _with_sections(text, values)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        path = self.fleet.folder / f"{self.name}.toml"
        path.write_text(text)
        return path

    async def start(self) -> None:
        """Starts the daemon with the command of the deploy file."""
        self.starts += 1
        path = self.write_settings()
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        deps = ROOT / "target" / "deps"
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-S",
            "-m",
            "cicadafront.daemon",
            "--settings",
            str(path),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(deps),
                "CICADAFRONT_NODE_FILE": str(path),
            },
        )
        log.close()
        self.fleet.record.write(f"machine {self.name}: process started")

    def signal(self, number: int) -> None:
        """Sends a signal to the daemon."""
        if self.process is not None and self.process.returncode is None:
            name = signal.Signals(number).name
            self.fleet.record.say(f"machine {self.name}: {name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the daemon and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def ready(self) -> bool:
        """Returns whether the daemon answers the readiness check with 200."""
        try:
            status, _, _ = await call(
                self.ports["ready"], "GET", "/-/ready", {}, b"", 0.5
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    def log_text(self) -> str:
        """Returns what the daemon has logged."""
        path = self.fleet.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Fleet:
    """The machines of one small deployment."""

    bounds = {
        "grace_s": 6,
        "retry_budget_ratio": 0.2,
        "budget_extra": 60,
        "budget_window_s": 10,
        "quota_window_s": 5,
        "quota_overage": 0.1,
        "quota_slack": 20,
    }

    target_class: type[Target] = Target

    def __init__(self, folder: pathlib.Path, slots: int = 3):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder / "record.txt")
        self.slots = slots
        self.store = Store(self.record)
        self.machines: list[Machine] = []
        self._tasks: list[asyncio.Task[Any]] = []

    def add(self, service: str, zone: str = "dar-a") -> Machine:
        """Adds a machine."""
        machine = Machine(self, len(self.machines) + 1, service, zone)
        self.machines.append(machine)
        return machine

    def spawn(self, work: Any) -> "asyncio.Task[Any]":
        """Runs a coroutine until the end of the case."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def start(self) -> None:
        """Starts store, targets and daemons; waits until all are ready."""
        for machine in self.machines:
            await self.store.listen(machine.name, machine.store_port)
            await machine.target.listen(machine.ports["target"])
        for machine in self.machines:
            await machine.start()
            self.spawn(machine.target.beat())
        await self.wait_ready(self.machines)

    async def wait_ready(
        self, machines: list[Machine], seconds: float = 25.0
    ) -> None:
        """Waits until daemons are ready.

        Raises:
            RuntimeError: One is not ready in time.
        """
        end = time.monotonic() + seconds
        for machine in machines:
            while not await machine.ready():
                if time.monotonic() > end:
                    raise RuntimeError(
                        f"{machine.name} is not ready: "
                        f"{machine.log_text()[-2000:]}"
                    )
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            machine.target.close()
        self.store.close()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def runs(self) -> list[Run]:
        """Returns the runs at all targets, in order of their times."""
        found = [run for m in self.machines for run in m.target.runs]
        return sorted(found, key=lambda run: run.at)


def main(case: Callable[[Fleet, bool], Awaitable[int]], folder: str) -> None:
    """Runs a case; exits with 0 if the rule held, 1 if not, 2 if not run.

    Args:
        case: The case; its arguments are the fleet and whether the
            disruption is made.
        folder: Folder of the case.
    """

    async def run() -> int:
        fleet = Fleet(pathlib.Path(folder))
        try:
            async with asyncio.timeout(110):
                return await case(fleet, os.environ.get("TROUBLE", "1") != "0")
        except Exception as error:  # noqa: BLE001
            fleet.record.say(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            await fleet.stop()

    sys.exit(asyncio.run(run()))
