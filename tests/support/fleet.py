"""Daemons in separate processes, and scripted targets, for tests."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
# Exceeds every timeout that a daemon applies in these tests.
CALL_TIMEOUT_SECONDS = 60.0


class Daemon:
    """One daemon process, controlled by JSON commands.

    Raises:
        AssertionError: The process ended before its listeners were open.
    """

    def __init__(self, instance: str, **options: Any):
        arguments = json.dumps({"instance": instance, **options})
        environment = dict(os.environ, PYTHONPATH=str(ROOT / "src"))
        self.instance = instance
        self.errors = open(os.devnull, "w")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.support.process", arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            cwd=ROOT,
            env=environment,
            text=True,
        )
        self.log: list[str] = []
        self._reader = threading.Thread(target=self._read_log, daemon=True)
        self._reader.start()
        line = self.process.stdout.readline()
        if not line:
            raise AssertionError("".join(self.log))
        ports = json.loads(line)
        self.edge = ports["edge"]
        self.peer = ports["peer"]
        self.operators = ports["operators"]

    def _read_log(self) -> None:
        for line in self.process.stderr:
            self.log.append(line)

    def send(self, **command: Any) -> None:
        """Sends a command without reading its response."""
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def command(self, **command: Any) -> dict[str, Any]:
        self.send(**command)
        return json.loads(self.process.stdout.readline())

    def counts(self) -> dict[str, int]:
        return self.command(do="counts")["counts"]

    def read(self, path: str) -> bytes:
        """Returns the response body of a path at the operators' address."""
        connection = http.client.HTTPConnection(
            HOST, self.operators, timeout=CALL_TIMEOUT_SECONDS
        )
        with contextlib.closing(connection):
            connection.request("GET", path)
            return connection.getresponse().read()

    def spans(self, trace: str) -> list[dict[str, Any]]:
        """Returns the spans that the daemon recorded for a trace."""
        return json.loads(self.read(f"/v1/traces/{trace}"))["items"]

    def peak_mb(self) -> float:
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def wait(self, timeout: float = CALL_TIMEOUT_SECONDS) -> int:
        status = self.process.wait(timeout)
        self._reader.join(5)
        return status

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for stream in (self.process.stdin, self.process.stdout):
            with contextlib.suppress(OSError):
                stream.close()
        self._reader.join(5)
        self.process.stderr.close()
        self.errors.close()


class Target:
    """Target on a real socket; each connection runs `script` in a thread."""

    def __init__(self, script: Callable[[socket.socket], None]):
        self._script = script
        self._socket = socket.create_server((HOST, 0), backlog=512)
        self.port = self._socket.getsockname()[1]
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._run, args=(connection,), daemon=True
            ).start()

    def _run(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._script(connection)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()


def problem_of(response: http.client.HTTPResponse) -> tuple[int, str, str]:
    """Returns status, code and `executed` of an error response."""
    fields = json.loads(response.read())
    return response.status, fields["code"], fields["executed"]


def unused_port() -> int:
    """Returns a port on which nothing listens."""
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


def read_head(connection: socket.socket) -> tuple[str, dict[str, str], bytes]:
    """Reads a request head.

    Returns:
        The first line, the header fields by lower-case name, and the bytes
        received after the head. The first line is empty if the connection
        ended before.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return "", {}, data
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    fields = {name.strip().lower(): value.strip() for name, value in pairs}
    return first, fields, rest


def echo(connection: socket.socket) -> None:
    """Responds to each request with its first line, fields and body as JSON."""
    while True:
        first, fields, body = read_head(connection)
        if not first:
            return
        length = int(fields.get("content-length", 0))
        while len(body) < length:
            body += connection.recv(65536)
        response = {"first": first, "fields": fields, "body": body.decode()}
        text = json.dumps(response).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n"
        connection.sendall(head.encode() + text)


def configure_fleet(
    daemons: list[Daemon],
    targets: dict[str, Target],
    routes: list[dict[str, Any]],
    slots: int = 3,
    instance_of: dict[str, str] | None = None,
    wrong_peer_ports: dict[tuple[str, str], int] | None = None,
) -> None:
    """Configures all daemons with the instances, targets and routes.

    Args:
        daemons: All daemons.
        targets: Targets by id; all belong to the service `s`.
        routes: Fields of the routes.
        slots: Slots of each target.
        instance_of: Instance id by target id; a target without an entry
            belongs to the last daemon.
        wrong_peer_ports: Peer ports, by the ids of the calling and the called
            instance, that the former uses in place of the latter's real one.
    """
    instance_ids = instance_of or {}
    wrong_ports = wrong_peer_ports or {}
    entries = [
        {
            "id": id,
            "service": "s",
            "instance": instance_ids.get(id, daemons[-1].instance),
            "slots": slots,
            "port": target.port,
        }
        for id, target in targets.items()
    ]
    for daemon in daemons:
        instances = [
            {
                "id": other.instance,
                "peer": wrong_ports.get(
                    (daemon.instance, other.instance), other.peer
                ),
            }
            for other in daemons
        ]
        daemon.command(
            do="configure", instances=instances, targets=entries, routes=routes
        )


def route(id: str = "r", prefix: str = "/", **fields: Any) -> dict[str, Any]:
    """Returns the fields of an open route to the service `s`."""
    return {"id": id, "prefix": prefix, "service": "s", "open": True, **fields}
