"""A small fleet: the store, the nodes and their upstreams on loopback."""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from typing import Any

from standins import http, store, upstream

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the site file that the cases name.
BOUNDS = {
    "grace_s": 6.0,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 60,
    "quota_window_s": 5,
    "quota_overage": 0.1,
    "quota_slack": 20,
}
DRAIN_SECONDS = 2.0
STABLE_SECONDS = 3.0
# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
_PLACEHOLDER = re.compile(r"\{\{([a-z_.0-9]+)(\|json)?\}\}")
_SECTION = re.compile(r"\{\{([#^])([a-z_.0-9]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
HOST = "one.example"


class CannotRunError(Exception):
    """The case cannot run on this machine."""


def _free_port(host: str) -> int:
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


def _lookup(fields: dict[str, Any], name: str) -> Any:
    value: Any = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def _entries(value: Any) -> list[tuple[Any, Any]]:
    """Returns the keys and entries for which a section is rendered."""
    match value:
        case dict():
            return list(value.items())
        case list():
            return list(enumerate(value))
        case None | False:
            return []
    return [("", value)]


def _with_sections(template: str, fields: dict[str, Any]) -> str:
    """Renders the sections of a template as DEPLOY.md says."""

    def rendered(match: re.Match[str]) -> str:
        kind, name, text = match.groups()
        try:
            entries = _entries(_lookup(fields, name))
        except (KeyError, IndexError):
            entries = []
        if kind == "^":
            return "" if entries else text
        return "".join(
            text.replace("{{@}}", str(key))
            .replace("{{.|json}}", json.dumps(entry))
            .replace("{{.}}", str(entry))
            for key, entry in entries
        )

    return _SECTION.sub(rendered, template)


class Node:
    """One machine: a process of the project and the upstream beside it.

    Attributes:
        name: Name of the machine.
        ip: Its address.
        ports: Its ports by their names in the settings.
        upstream: The upstream.
        process: The running process.
        out_of_touch: Times of the signals and starts of its process.
    """

    def __init__(self, fleet: "Fleet", number: int, service: str):
        self.name = f"n{number}"
        self.ip = f"{fleet.net}.{number}"
        self.service = service
        names = ("inbound", "outbound", "readiness", "control", "upstream")
        self.ports = {name: _free_port(self.ip) for name in names}
        self.upstream = upstream.Upstream(
            self.name,
            service,
            self.address("upstream"),
            self.address("control"),
            fleet.log,
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.out_of_touch: list[float] = []
        self._fleet = fleet

    def address(self, name: str) -> tuple[str, int]:
        """Returns one of its addresses."""
        return self.ip, self.ports[name]

    def _fields(self) -> dict[str, Any]:
        """Returns the platform's settings that the template may use."""
        host, port = self._fleet.store_address
        return {
            "node_name": self.name,
            "zone": "zone-a",
            "ip": self.ip,
            "listen": {
                name: f"{self.ip}:{port}" for name, port in self.ports.items()
            },
            "internal_ports": [7000, 7015],
            "bounds": BOUNDS,
            "platform": {"address": f"{host}:{port}"},
            "upstream_address": f"{self.ip}:{self.ports['upstream']}",
            "service": self.service,
        }

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["sidecar"]
        fields = self._fields()

        def filled(match: re.Match[str]) -> str:
            value = _lookup(fields, match[1])
            return json.dumps(value) if match[2] else str(value)

        template = (ROOT / role["template"]).read_text()
        path = self._fleet.folder / f"{self.name}.yaml"
        text = _with_sections(template, fields)
        path.write_text(_PLACEHOLDER.sub(filled, text))
        command = [
            str(path) if word.endswith("boot.yaml") else word
            for word in role["run"].split()
        ]
        command[0] = sys.executable
        environment = {"PYTHONPATH": str(ROOT / "target/deps")}
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                environment[name] = os.environ[name]
        with (self._fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.out_of_touch.append(time.monotonic())
        self._fleet.log(f"{self.name} starts")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None:
            self.out_of_touch.append(time.monotonic())
            self._fleet.log(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def wait_until_ended(self, seconds: float) -> None:
        """Waits for the end of the process; kills it after some seconds."""
        ends = time.monotonic() + seconds
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > ends:
                self.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.02)

    async def ready(self) -> bool:
        """Returns whether the node says that it is ready."""
        answer = await http.call(
            self.address("readiness"), "GET", "/-/ready", {"Host": "r"}
        )
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Waits until the node is ready."""
        ends = time.monotonic() + seconds
        while not await self.ready():
            if time.monotonic() > ends:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)
        self._fleet.log(f"{self.name} is ready")

    def in_touch(self, at: float) -> bool:
        """Returns whether no signal or start came shortly before a time."""
        return not any(
            event <= at <= event + STABLE_SECONDS for event in self.out_of_touch
        )


class Fleet:
    """The parts of one run.

    Attributes:
        folder: Temporary folder of settings and logs.
        nodes: The machines.
        store: The platform's store.
        trouble: Whether the disruption takes place.
        tasks: Requests in flight, kept from garbage collection.
        sent: Machine, time and status by request id.
    """

    def __init__(self, record: pathlib.Path, folder: pathlib.Path):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE") != "0"
        self.store = store.Store()
        pid = os.getpid()
        self.net = f"127.{64 + pid % 120}.{pid // 120 % 250}"
        self.store_address = f"{self.net}.200", _free_port(f"{self.net}.200")
        self.nodes: list[Node] = []
        self.sent: dict[str, tuple[str, float]] = {}
        self.limits: dict[str, int] = {"rate_per_s": 0}
        self.tasks: set[asyncio.Task[int]] = set()
        self._record = record.open("w")
        self._ids = itertools.count(1)
        self.began = time.monotonic()

    def log(self, text: str) -> None:
        """Writes an event to the record."""
        at = time.monotonic() - self.began
        self._record.write(f"{at:9.3f} {text}\n")
        self._record.flush()

    def configure(self, routes: list[dict[str, Any]], version: int = 1) -> None:
        """Writes a configuration as the operator does."""
        services = {route["service"] for route in routes}
        document = {
            "version": version,
            "services": [
                {"name": name, "health_path": "/health", "max_connections": 360}
                for name in sorted(services)
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "tenants": [{"name": "t1", "api_keys": ["key-1"], **self.limits}],
            "virtual_hosts": [{"host": HOST, "paths": routes}],
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.store.write("op/config", value)

    async def start(self, services: list[str]) -> None:
        """Starts the store, and one machine for each service in the list."""
        await self.store.start(self.store_address)
        for number, service in enumerate(services, 1):
            self.nodes.append(Node(self, number, service))
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.upstream.start()
        for node in self.nodes:
            await node.wait_until_ready()
        # All machines are in touch from here on.
        await asyncio.sleep(STABLE_SECONDS + 0.5)

    async def finish(self) -> None:
        """Ends the upstreams and what the clients still wait for."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.nodes:
            node.upstream.stop()
        await asyncio.sleep(0.1)

    def new_id(self, node: Node) -> str:
        """Returns the id of a request that is sent to a node now."""
        id = f"{next(self._ids):016x}"
        self.sent[id] = node.name, time.monotonic()
        return id

    async def request(
        self,
        node: Node,
        method: str,
        path: str,
        deadline: float = 4.0,
        body: bytes = b"",
    ) -> int:
        """Sends a client's request; returns the status, or 0."""
        id = self.new_id(node)
        headers = request_headers(id, deadline)
        self.log(f"client sends {id} {method} {path} to {node.name}")
        answer = await http.call(
            node.address("outbound"), method, path, headers, body, deadline
        )
        status = answer.status if answer is not None else 0
        self.log(f"client gets {status} for {id}")
        return status

    def entry(self, id: str) -> Node | None:
        """Returns the machine at which a request began."""
        name = self.sent.get(id, ("", 0.0))[0]
        return next((node for node in self.nodes if node.name == name), None)

    def arrivals(self) -> list[upstream.Arrival]:
        """Returns all requests that reached an upstream, by time."""
        found = [a for node in self.nodes for a in node.upstream.arrivals]
        return sorted(found, key=lambda arrival: arrival.at)

    def close(self) -> None:
        """Ends all processes."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self._record.close()


def request_headers(id: str, deadline: float) -> dict[str, str]:
    """Returns the headers of a client's request."""
    return {
        "Host": HOST,
        "Cicadafront-Request-Id": id,
        "Cicadafront-Deadline-Ms": str(int(deadline * 1000)),
        "Cicadafront-Key": "key-1",
    }


def route(name: str, service: str, kind: str) -> dict[str, Any]:
    """Returns a route `/NAME/` to a service."""
    return {
        "name": name,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_s": 4,
        "target_latency_s": 1,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
    }


Case = Callable[[Fleet], Coroutine[Any, Any, int]]


async def _run(case: Case, fleet: Fleet) -> int:
    try:
        return await asyncio.wait_for(case(fleet), 110.0)
    finally:
        await fleet.finish()


def main(case: Case, folder: str) -> None:
    """Runs a case and exits with its result."""
    record = pathlib.Path(folder) / "record.txt"
    with tempfile.TemporaryDirectory(prefix="cicadafront-review-") as name:
        fleet = Fleet(record, pathlib.Path(name))
        result = NOT_RUN
        try:
            result = asyncio.run(_run(case, fleet))
            fleet.log(f"result: {result}")
        except (CannotRunError, OSError, TimeoutError) as error:
            fleet.log(f"cannot run: {error!r}")
        finally:
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                for path in pathlib.Path(name).iterdir():
                    with contextlib.suppress(OSError):
                        (pathlib.Path(kept) / path.name).write_bytes(
                            path.read_bytes()
                        )
            fleet.close()
    sys.exit(result)
