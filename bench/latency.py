"""Measures the latency that cicadafront adds over a direct call.

Requests are sent at a fixed rate to a target directly, through two plain
Twisted TCP forwarders in series, and through an entry and an agent. Each of
these runs in its own process on 127.0.0.1. The three paths alternate in blocks
of requests, so that noise of the machine affects all of them alike.

    PYTHONPATH=src python -m bench.latency --requests 3000
"""

import argparse
import socket
import subprocess
import sys
import time

from twisted.internet import protocol, reactor
from twisted.protocols import portforward

from tests.support import fleet

# Requests per second at the entry of one instance at the target size.
RATE = 224
BLOCK = 50
# Requests on each path that are left out, so that connections are open.
WARM_UP = 100
BODY = b"x" * 1024
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    b"Content-Length: %d\r\n\r\n" % len(BODY)
) + BODY


class _Target(protocol.Protocol):
    """Sends a fixed response to each request immediately."""

    def connectionMade(self):  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self._unread = b""

    def dataReceived(self, data):  # noqa: N802
        self._unread += data
        while b"\r\n\r\n" in self._unread:
            self._unread = self._unread.partition(b"\r\n\r\n")[2]
            self.transport.write(ANSWER)


def _serve(factory: protocol.Factory) -> None:
    port = reactor.listenTCP(0, factory, interface=fleet.HOST)
    print(port.getHost().port, flush=True)
    reactor.run()


class _HelperProcess:
    """Subprocess that runs this module as a target or a forwarder."""

    def __init__(self, *arguments: str):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bench.latency", *arguments],
            stdout=subprocess.PIPE,
            text=True,
            cwd=fleet.ROOT,
        )
        self.port = int(self.process.stdout.readline())

    def kill(self) -> None:
        """Kills the process and waits for it."""
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


class _Path:
    """Connection over which the latency of requests is measured."""

    def __init__(self, name: str, port: int, method: str):
        self.name = name
        self.seconds: list[float] = []
        self._socket = socket.create_connection((fleet.HOST, port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        length = "" if method == "GET" else "Content-Length: 0\r\n"
        self._request = (
            f"{method} /records/7?from=1 HTTP/1.1\r\nHost: records\r\n"
            "User-Agent: bench\r\nAccept: */*\r\nAccept-Encoding: gzip\r\n"
            f"Authorization: Bearer cf_k1_secret\r\n{length}\r\n"
        ).encode()

    def run(self, count: int) -> None:
        """Sends requests at the fixed rate, one at a time.

        Raises:
            ConnectionError: The connection closed before a whole response.
        """
        due = time.perf_counter()
        for _ in range(count):
            due += 1 / RATE
            time.sleep(max(0.0, due - time.perf_counter()))
            started_at = time.perf_counter()
            self._socket.sendall(self._request)
            data = b""
            while not data.endswith(BODY):
                chunk = self._socket.recv(65536)
                if not chunk:
                    raise ConnectionError(
                        f"{self.name}: connection closed after {data!r}"
                    )
                data += chunk
            self.seconds.append(time.perf_counter() - started_at)

    def quantile_ms(self, share: float) -> float:
        """Returns a quantile of the latencies after the warm-up, in ms."""
        values = sorted(self.seconds[WARM_UP:])
        return values[int(share * (len(values) - 1))] * 1000


def _measure(paths: list[_Path], requests: int) -> None:
    for path in paths:
        path.run(WARM_UP)
    for _ in range(requests // BLOCK):
        for path in paths:
            path.run(BLOCK)


def _cpu_seconds(daemon: fleet.Daemon) -> float:
    with open(f"/proc/{daemon.process.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def _report(paths: list[_Path]) -> None:
    direct = paths[0]
    print(f"{'path':12} {'p50 ms':>8} {'p99 ms':>8} {'+p50':>8} {'+p99':>8}")
    for path in paths:
        p50, p99 = path.quantile_ms(0.5), path.quantile_ms(0.99)
        print(
            f"{path.name:12} {p50:8.3f} {p99:8.3f} "
            f"{p50 - direct.quantile_ms(0.5):8.3f} "
            f"{p99 - direct.quantile_ms(0.99):8.3f}"
        )


def run(requests: int, method: str) -> None:
    """Starts all processes, measures the paths and prints a table."""
    started: list = []
    try:
        target = _HelperProcess("--role", "target")
        started.append(target)
        second_hop = _HelperProcess(
            "--role", "forward", "--port", str(target.port)
        )
        started.append(second_hop)
        first_hop = _HelperProcess(
            "--role", "forward", "--port", str(second_hop.port)
        )
        started.append(first_hop)
        daemons = []
        for id in ("entry", "agent"):
            daemons.append(fleet.Daemon(id))
            started.append(daemons[-1])
        route = fleet.route(open=False, repeatable=method == "GET")
        fleet.configure_fleet(daemons, {"t": target}, [route])
        paths = [
            _Path("direct", target.port, method),
            _Path("forwarder", first_hop.port, method),
            _Path("cicadafront", daemons[0].edge, method),
        ]
        before = [_cpu_seconds(daemon) for daemon in daemons]
        _measure(paths, requests)
        _report(paths)
        for daemon, start in zip(daemons, before, strict=True):
            spent = (_cpu_seconds(daemon) - start) / (requests + WARM_UP)
            print(f"CPU per request, {daemon.instance}: {spent * 1e6:.0f} us")
    finally:
        for process in started:
            process.kill()


def main() -> None:
    """Runs the measurement or, with `--role`, a subprocess of it."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--method", choices=("GET", "POST"), default="GET")
    parser.add_argument("--role", choices=("target", "forward"))
    parser.add_argument("--port", type=int)
    options = parser.parse_args()
    if options.role == "target":
        _serve(protocol.Factory.forProtocol(_Target))
    elif options.role == "forward":
        _serve(portforward.ProxyFactory(fleet.HOST, options.port))
    else:
        run(options.requests, options.method)


if __name__ == "__main__":
    main()
