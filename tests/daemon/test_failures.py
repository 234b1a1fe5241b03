"""Tests of failures of targets, agents and links over real sockets."""

import http.client
import signal
import socket
import threading
import time
import unittest

from parameterized import parameterized

from cicadafront.peer import heartbeat
from tests.support import fleet

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# Time until an unresponsive link is detected; 4 s are added for a busy machine.
SILENT_SECONDS = (
    heartbeat.PING_AFTER_SECONDS + heartbeat.DEAD_AFTER_SECONDS + 4.0
)


class BlockingTarget:
    """A target that responds only once the test sets `respond`."""

    def __init__(self):
        self.request_received = threading.Semaphore(0)
        self.respond = threading.Event()
        self.closed = threading.Event()
        self.requests = 0

    def __call__(self, connection):
        while fleet.read_head(connection)[0]:
            self.requests += 1
            self.request_received.release()
            self._wait(connection)
            connection.sendall(OK)

    def _wait(self, connection):
        connection.settimeout(0.02)
        while not self.respond.is_set():
            try:
                if not connection.recv(1, socket.MSG_PEEK):
                    self.closed.set()
                    return
            except TimeoutError:
                continue
            except OSError:
                self.closed.set()
                return
        connection.settimeout(None)


def _truncated_response(connection):
    fleet.read_head(connection)
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")


def _truncated_chunked_response(connection):
    fleet.read_head(connection)
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    )


class FailureTest(unittest.TestCase):
    """Guards against callers that hang or get a wrong result.

    A process or a connection on the path of a request fails while the request
    is in flight. The caller must get a response that states correctly whether
    the request may have run.
    """

    def _start_daemons(self, *ids):
        made = []
        for id in ids:
            daemon = fleet.Daemon(id)
            self.addCleanup(daemon.kill)
            made.append(daemon)
        return made

    def _start_target(self, script):
        target = fleet.Target(script)
        self.addCleanup(target.close)
        return target

    def _start_pair(self, script, **fields):
        """Starts an entry, and an agent with one local target."""
        entry, agent = self._start_daemons("a", "b")
        target = self._start_target(script)
        fleet.configure_fleet(
            [entry, agent], {"t": target}, [fleet.route(**fields)]
        )
        return entry, agent

    def _caller(self, daemon):
        caller = http.client.HTTPConnection(
            fleet.HOST, daemon.edge, timeout=fleet.CALL_TIMEOUT_SECONDS
        )
        self.addCleanup(caller.close)
        return caller

    def _get(self, daemon, method="GET"):
        caller = self._caller(daemon)
        caller.request(method, "/")
        return caller.getresponse()

    @parameterized.expand(
        [
            ("killed", signal.SIGKILL, 2.0),
            ("silent", signal.SIGSTOP, SILENT_SECONDS),
        ]
    )
    def test_agent_dies_while_a_request_runs(
        self, _name, signal_number, seconds
    ):
        target = BlockingTarget()
        entry, agent = self._start_pair(target)
        caller = self._caller(entry)
        caller.request("POST", "/", b"x")
        target.request_received.acquire(timeout=fleet.CALL_TIMEOUT_SECONDS)
        began = time.monotonic()
        agent.process.send_signal(signal_number)
        response = fleet.problem_of(caller.getresponse())
        self.assertEqual(response, (502, "link_lost", "unknown"))
        self.assertLess(time.monotonic() - began, seconds)
        self.assertEqual(target.requests, 1)

    def test_repeatable_request_moves_to_another_target(self):
        entry, first, second = self._start_daemons("a", "b", "c")
        target = BlockingTarget()
        targets = {"t1": self._start_target(target)}
        fleet.configure_fleet(
            [entry, first, second],
            targets,
            [fleet.route(repeatable=True)],
            instance_of={"t1": "b"},
        )
        caller = self._caller(entry)
        caller.request("GET", "/")
        target.request_received.acquire(timeout=fleet.CALL_TIMEOUT_SECONDS)
        fleet.configure_fleet(
            [entry, first, second],
            targets | {"t2": self._start_target(fleet.echo)},
            [fleet.route(repeatable=True)],
            instance_of={"t1": "b", "t2": "c"},
        )
        first.process.kill()
        self.assertEqual(caller.getresponse().status, 200)

    def test_target_that_refuses_connections(self):
        entry, agent = self._start_daemons("a", "b")
        target = self._start_target(fleet.echo)
        target.close()
        fleet.configure_fleet([entry, agent], {"t": target}, [fleet.route()])
        response = fleet.problem_of(self._get(entry, "POST"))
        self.assertEqual(response, (502, "target_failed", "no"))

    def test_truncated_small_response(self):
        # The agent buffers a small response; the caller receives no part of it.
        entry, _ = self._start_pair(_truncated_response)
        response = fleet.problem_of(self._get(entry, "POST"))
        self.assertEqual(response, (502, "target_failed", "unknown"))

    def test_truncated_chunked_response(self):
        entry, _ = self._start_pair(_truncated_chunked_response)
        with self.assertRaises((http.client.HTTPException, OSError)):
            self._get(entry).read()

    def test_deadline_closes_the_target_connection(self):
        target = BlockingTarget()
        entry, _ = self._start_pair(target, timeout=0.3)
        response = fleet.problem_of(self._get(entry, "POST"))
        self.assertEqual(response, (504, "deadline_exceeded", "unknown"))
        self.assertTrue(target.closed.wait(5))

    def test_caller_disconnect_cancels_at_the_target(self):
        target = BlockingTarget()
        entry, agent = self._start_pair(target)
        caller = self._caller(entry)
        caller.request("POST", "/", b"x")
        target.request_received.acquire(timeout=fleet.CALL_TIMEOUT_SECONDS)
        caller.close()
        self.assertTrue(target.closed.wait(5))

    def test_request_with_a_record_outlives_its_caller(self):
        target = BlockingTarget()
        entry, agent = self._start_pair(target)
        headers = {"Idempotency-Key": "k"}
        caller = self._caller(entry)
        caller.request("POST", "/", b"x", headers)
        target.request_received.acquire(timeout=fleet.CALL_TIMEOUT_SECONDS)
        caller.close()
        again = self._caller(entry)
        again.request("POST", "/", b"x", headers)
        target.respond.set()
        response = again.getresponse()
        self.assertEqual((response.status, response.read()), (200, b"ok"))
        self.assertEqual(target.requests, 1)

    @parameterized.expand([("refused", False), ("silent", True)])
    def test_relay_around_a_broken_link(self, _name, silent):
        entry, third, agent = self._start_daemons("a", "c", "b")
        port = fleet.unused_port()
        if silent:
            port = self._start_target(lambda _: time.sleep(30)).port
        fleet.configure_fleet(
            [entry, third, agent],
            {"t": self._start_target(fleet.echo)},
            [fleet.route()],
            wrong_peer_ports={("a", "b"): port},
        )
        response = self._get(entry, "POST")
        self.assertEqual(response.status, 200)
        self.assertEqual(entry.counts()["relayed"], 1)

    def test_stale_connection_is_not_used_for_a_payment(self):
        entry, agent = self._start_daemons("a", "b")
        go = threading.Event()

        def script(connection):
            fleet.read_head(connection)
            connection.sendall(OK)
            go.wait(10)

        target = self._start_target(script)
        routes = [
            fleet.route("read", "/", repeatable=True, methods=["GET"]),
            fleet.route("pay", "/", methods=["POST"]),
        ]
        fleet.configure_fleet([entry, agent], {"t": target}, routes)
        self.assertEqual(self._get(entry).status, 200)
        self.assertEqual(self._get(entry, "POST").status, 200)
        self.assertEqual(target.connections, 2)
        go.set()
