"""Failures of targets, agents and links over real sockets."""

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
# Time that a silent link takes to be noticed, with room for a busy machine.
SILENT_SECONDS = (
    heartbeat.PING_AFTER_SECONDS + heartbeat.DEAD_AFTER_SECONDS + 4.0
)


class Slow:
    """A target that answers when the test says so."""

    def __init__(self):
        self.arrived = threading.Semaphore(0)
        self.go_on = threading.Event()
        self.closed = threading.Event()
        self.runs = 0

    def __call__(self, connection):
        while fleet.read_head(connection)[0]:
            self.runs += 1
            self.arrived.release()
            self._wait(connection)
            connection.sendall(OK)

    def _wait(self, connection):
        connection.settimeout(0.02)
        while not self.go_on.is_set():
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


def _short(connection):
    fleet.read_head(connection)
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")


def _short_chunked(connection):
    fleet.read_head(connection)
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    )


class FailureTest(unittest.TestCase):
    """Guards against hanging callers and untrue answers."""

    def _daemons(self, *ids):
        made = []
        for id in ids:
            daemon = fleet.Daemon(id)
            self.addCleanup(daemon.kill)
            made.append(daemon)
        return made

    def _target(self, script):
        target = fleet.Target(script)
        self.addCleanup(target.close)
        return target

    def _pair(self, script, **fields):
        """Starts an entry and an agent beside one target."""
        entry, agent = self._daemons("a", "b")
        target = self._target(script)
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
    def test_agent_dies_while_a_request_runs(self, _name, sign, seconds):
        slow = Slow()
        entry, agent = self._pair(slow)
        caller = self._caller(entry)
        caller.request("POST", "/", b"x")
        slow.arrived.acquire(timeout=fleet.CALL_TIMEOUT_SECONDS)
        began = time.monotonic()
        agent.process.send_signal(sign)
        answer = fleet.problem_of(caller.getresponse())
        self.assertEqual(answer, (502, "link_lost", "unknown"))
        self.assertLess(time.monotonic() - began, seconds)
        self.assertEqual(slow.runs, 1)

    def test_repeatable_request_moves_to_another_target(self):
        entry, first, second = self._daemons("a", "b", "c")
        slow = Slow()
        targets = {"t1": self._target(slow)}
        fleet.configure_fleet(
            [entry, first, second],
            targets,
            [fleet.route(repeatable=True)],
            instance_of={"t1": "b"},
        )
        caller = self._caller(entry)
        caller.request("GET", "/")
        slow.arrived.acquire(timeout=fleet.CALL_TIMEOUT_SECONDS)
        fleet.configure_fleet(
            [entry, first, second],
            targets | {"t2": self._target(fleet.echo)},
            [fleet.route(repeatable=True)],
            instance_of={"t1": "b", "t2": "c"},
        )
        first.process.kill()
        self.assertEqual(caller.getresponse().status, 200)

    def test_target_that_refuses_connections(self):
        entry, agent = self._daemons("a", "b")
        target = self._target(fleet.echo)
        target.close()
        fleet.configure_fleet([entry, agent], {"t": target}, [fleet.route()])
        answer = fleet.problem_of(self._get(entry, "POST"))
        self.assertEqual(answer, (502, "target_failed", "no"))

    def test_short_small_answer(self):
        # Held by the agent, so that nothing of it reaches the caller.
        entry, _ = self._pair(_short)
        answer = fleet.problem_of(self._get(entry, "POST"))
        self.assertEqual(answer, (502, "target_failed", "unknown"))

    def test_short_chunked_answer(self):
        entry, _ = self._pair(_short_chunked)
        with self.assertRaises((http.client.HTTPException, OSError)):
            self._get(entry).read()

    def test_deadline_closes_the_target_connection(self):
        slow = Slow()
        entry, _ = self._pair(slow, timeout=0.3)
        answer = fleet.problem_of(self._get(entry, "POST"))
        self.assertEqual(answer, (504, "deadline_exceeded", "unknown"))
        self.assertTrue(slow.closed.wait(5))

    def test_caller_that_leaves_cancels_at_the_target(self):
        slow = Slow()
        entry, agent = self._pair(slow)
        caller = self._caller(entry)
        caller.request("POST", "/", b"x")
        slow.arrived.acquire(timeout=fleet.CALL_TIMEOUT_SECONDS)
        caller.close()
        self.assertTrue(slow.closed.wait(5))

    def test_request_with_a_record_outlives_its_caller(self):
        slow = Slow()
        entry, agent = self._pair(slow)
        headers = {"Idempotency-Key": "k"}
        caller = self._caller(entry)
        caller.request("POST", "/", b"x", headers)
        slow.arrived.acquire(timeout=fleet.CALL_TIMEOUT_SECONDS)
        caller.close()
        again = self._caller(entry)
        again.request("POST", "/", b"x", headers)
        slow.go_on.set()
        answer = again.getresponse()
        self.assertEqual((answer.status, answer.read()), (200, b"ok"))
        self.assertEqual(slow.runs, 1)

    @parameterized.expand([("refused", False), ("silent", True)])
    def test_relay_around_a_broken_link(self, _name, silent):
        entry, third, agent = self._daemons("a", "c", "b")
        port = fleet.unused_port()
        if silent:
            port = self._target(lambda _: time.sleep(30)).port
        fleet.configure_fleet(
            [entry, third, agent],
            {"t": self._target(fleet.echo)},
            [fleet.route()],
            wrong_peer_ports={("a", "b"): port},
        )
        answer = self._get(entry, "POST")
        self.assertEqual(answer.status, 200)
        self.assertEqual(entry.counts()["relayed"], 1)

    def test_stale_connection_is_not_used_for_a_payment(self):
        entry, agent = self._daemons("a", "b")
        go = threading.Event()

        def script(connection):
            fleet.read_head(connection)
            connection.sendall(OK)
            go.wait(10)

        target = self._target(script)
        routes = [
            fleet.route("read", "/", repeatable=True, methods=["GET"]),
            fleet.route("pay", "/", methods=["POST"]),
        ]
        fleet.configure_fleet([entry, agent], {"t": target}, routes)
        self.assertEqual(self._get(entry).status, 200)
        self.assertEqual(self._get(entry, "POST").status, 200)
        self.assertEqual(target.connections, 2)
        go.set()
