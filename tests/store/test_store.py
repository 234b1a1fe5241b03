"""Tests of the emulated store, the HTTP client and the circuit breaker."""

import json
import random
import time
import unittest
import urllib.request

from parameterized import parameterized
from twisted.internet import defer, protocol, task

from cicadafront import errors
from cicadafront.cli import loop
from cicadafront.emulator import store as emulator
from cicadafront.store import body, client, outage
from tests.store.support import code, result, serve


class EmulatorTest(unittest.TestCase):
    """Guards against an emulator whose semantics differ from the store's."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = emulator.EmulatedStore(self.clock)

    @parameterized.expand(
        [
            ("absent as expected", 0, "new", "ok"),
            ("absent, other expected", 7, "new", "store_conflict"),
            ("current version", 1, "old", "ok"),
            ("stale version", 0, "old", "store_conflict"),
            ("any version", None, "old", "ok"),
        ]
    )
    def test_compare_and_swap(self, _name, expected, key, wanted):
        result(self.store.put("old", b"1"))
        self.assertEqual(code(self.store.put(key, b"2", expected)), wanted)

    def test_expired_lease_deletes_its_keys(self):
        lease = result(self.store.grant_lease(5))
        result(self.store.put("owner/1", b"a", 0, lease))
        self.clock.advance(4)
        result(self.store.renew_lease(lease))
        self.clock.advance(4.9)
        self.assertIsNotNone(result(self.store.get("owner/1")))
        self.clock.advance(0.1)
        self.assertIsNone(result(self.store.get("owner/1")))
        self.assertEqual(code(self.store.renew_lease(lease)), "store_conflict")
        again = self.store.put("owner/1", b"a", 0, lease)
        self.assertEqual(code(again), "store_conflict")

    def test_key_written_without_its_lease_survives_revocation(self):
        lease = result(self.store.grant_lease(5))
        result(self.store.put("k", b"a", 0, lease))
        result(self.store.put("k", b"b"))
        result(self.store.revoke_lease(lease))
        self.assertEqual(result(self.store.get("k")).value, b"b")

    def test_versions_do_not_repeat_after_a_deletion(self):
        first = result(self.store.put("k", b"a"))
        result(self.store.delete("k", first))
        self.assertGreater(result(self.store.put("k", b"a", 0)), first)

    def test_watch(self):
        waiting = self.store.watch("k", 0, 10)
        version = result(self.store.put("k", b"a"))
        self.assertEqual(result(waiting).version, version)
        unchanged = self.store.watch("k", version, 10)
        self.clock.advance(10)
        self.assertIsNone(result(unchanged))
        broken = self.store.watch("k", version, 10)
        self.store.set_outage(True)
        self.assertEqual(code(broken), "store_unavailable")
        self.assertEqual(self.store.counts["watch"], 3)

    @parameterized.expand(
        [
            ("outage", {"outage": True}, False),
            ("answer lost", {"lose_answers": 1}, True),
            ("request lost", {"lose_requests": 1}, False),
            ("too slow", {"slow": 60.0}, True),
        ]
    )
    def test_faults(self, _name, faults, effect):
        for name, value in faults.items():
            setattr(self.store.faults, name, value)
        writing = self.store.put("k", b"a")
        self.clock.advance(client.CALL_TIMEOUT_SECONDS)
        self.assertEqual(code(writing), "store_unavailable")
        present = result(self.store.with_shared_data().get("k")) is not None
        self.assertEqual(present, effect)

    def test_slow_response_arrives_late(self):
        self.store.faults.slow = 0.5
        reading = self.store.get("k")
        arrived = []
        reading.addCallback(arrived.append)
        self.assertEqual(arrived, [])
        self.clock.advance(0.5)
        self.assertEqual(arrived, [None])


class HttpTest(unittest.TestCase):
    """Guards against a client that loses data, hangs or retries writes.

    Responses can be lost, slow, truncated or too large.
    """

    def setUp(self):
        reactor = loop.reactor()

        self.store, self.port, self.url = serve()

        def start():
            http = client.HttpStore(reactor, self.url, timeout=0.5)
            return defer.succeed(http)

        self.http = loop.call(start)

    def tearDown(self):
        loop.call(self.http.close)
        loop.call(lambda: defer.maybeDeferred(self.port.stopListening))

    def call(self, name, *arguments):
        return loop.call(lambda: getattr(self.http, name)(*arguments))

    def test_values_round_trip(self):
        value = random.Random(1).randbytes(client.MAX_VALUE_BYTES)
        version = self.call("put", "config/part/ä &=%", value, 0)
        read = self.call("get", "config/part/ä &=%")
        self.assertEqual((read.value, read.version), (value, version))
        self.assertIsNone(self.call("get", "absent"))
        listed = self.call("list", "config/")
        self.assertEqual(listed, {"config/part/ä &=%": read})
        with self.assertRaises(errors.StoreConflictError):
            self.call("put", "config/part/ä &=%", b"", 0)
        with self.assertRaises(errors.StoreConflictError):
            self.call("delete", "config/part/ä &=%", version + 1)
        self.call("delete", "config/part/ä &=%", version)
        self.assertEqual(self.call("list", ""), {})
        with self.assertRaises(client.StoreRefusedError):
            self.call("put", "k", value + b"1")

    def test_leases(self):
        lease = self.call("grant_lease", 5.0)
        self.call("put", "owner", b"a", 0, lease)
        self.assertEqual(self.call("get", "owner").lease, lease)
        self.call("renew_lease", lease)
        self.call("revoke_lease", lease)
        self.assertIsNone(self.call("get", "owner"))
        with self.assertRaises(errors.StoreConflictError):
            self.call("renew_lease", lease)

    def test_watch_outlasts_the_call_timeout(self):
        version = self.call("put", "k", b"a")
        self.assertIsNone(self.call("watch", "k", version, 0.7))
        reactor = loop.reactor()

        def watch():
            reactor.callLater(0.1, self.store.put, "k", b"b")
            return self.http.watch("k", version, 5)

        self.assertEqual(loop.call(watch).value, b"b")

    def test_write_is_not_retried_after_a_lost_response(self):
        self.call("put", "other", b"a")  # leaves an idle connection
        self.store.faults.lose_answers = 1
        with self.assertRaises(errors.StoreUnavailableError):
            self.call("put", "k", b"a")
        self.assertEqual(self.store.counts["put"], 2)
        self.assertEqual(self.call("get", "k").value, b"a")

    def test_slow_store_ends_in_a_timeout(self):
        self.store.faults.slow = 1.5
        start = time.monotonic()
        with self.assertRaises(errors.StoreUnavailableError):
            self.call("get", "k")
        self.assertLess(time.monotonic() - start, 1.4)

    @parameterized.expand([("stalls", False), ("ends short", True)])
    def test_incomplete_body(self, _name, close):
        """A stalled or truncated body fails, and its connection is closed."""
        reactor = loop.reactor()
        peers = []

        class Stalling(protocol.Protocol):
            def dataReceived(self, data):  # noqa: N802
                peers.append(self)
                self.transport.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
                    b"X-Version: 1\r\n\r\nabc"
                )
                if close:
                    self.transport.loseConnection()

            def connectionLost(self, reason=None):  # noqa: N802
                peers.remove(self)

        def listen():
            factory = protocol.Factory.forProtocol(Stalling)
            return defer.succeed(
                reactor.listenTCP(0, factory, interface="127.0.0.1")
            )

        def read():
            http = client.HttpStore(reactor, url, timeout=0.3)
            return http.get("k").addErrback(lambda f: f.value.code)

        port = loop.call(listen)
        url = f"http://127.0.0.1:{port.getHost().port}"
        self.assertEqual(loop.call(read), "store_unavailable")
        loop.call(lambda: task.deferLater(reactor, 0.1))
        self.assertEqual(peers, [])
        loop.call(lambda: defer.maybeDeferred(port.stopListening))

    def test_oversized_body(self):
        """Reading stops at the limit, and the data read so far is dropped."""
        found = []

        class Response:
            def deliverBody(self, collector):  # noqa: N802
                self.collector = collector
                collector.transport = self

            def loseConnection(self):  # noqa: N802
                found.append("closed")

        response = Response()
        read = body.read(response, max_bytes=1000)
        read.addErrback(lambda reason: found.append(reason.value.code))
        for _ in range(100):
            response.collector.dataReceived(b"x" * 100)
        self.assertEqual(found, ["closed", "body_too_large"])
        self.assertEqual(response.collector._chunks, [])

    def test_refused_connection_has_a_typed_error(self):
        loop.call(lambda: defer.maybeDeferred(self.port.stopListening))
        with self.assertRaises(errors.StoreUnavailableError):
            self.call("get", "k")

    def test_admin_path_switches_faults_and_counts(self):
        self.call("put", "k", b"a")
        body = json.dumps({"outage": True}).encode()
        request = urllib.request.Request(
            f"{self.url}/admin/faults", body, method="PUT"
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            self.assertTrue(json.load(answer)["outage"])
        with self.assertRaises(errors.StoreUnavailableError):
            self.call("get", "k")
        with urllib.request.urlopen(
            f"{self.url}/admin/counts", timeout=5
        ) as answer:
            counts = json.load(answer)["items"]
        self.assertIn({"kind": "put", "count": 1}, counts)


class CircuitBreakerTest(unittest.TestCase):
    """Guards against instances that overload a recovering store.

    This happens when all instances retry at once during an outage, or send
    all waiting calls as soon as the store responds again.
    """

    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100)
        self.inner = emulator.EmulatedStore(self.clock)
        self.store = outage.CircuitBreakerStore(
            self.inner, self.clock, random.Random(1)
        )

    def test_calls_back_off_during_an_outage(self):
        self.inner.set_outage(True)
        sent = []
        for _ in range(6000):
            before = self.inner.counts["get"]
            self.assertEqual(code(self.store.get("k")), "store_unavailable")
            if self.inner.counts["get"] > before:
                sent.append(self.clock.seconds())
            self.clock.advance(0.1)
        gaps = [b - a for a, b in zip(sent, sent[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 1.0 - 1e-6)
        self.assertLessEqual(max(gaps), 30.1 + 1e-6)
        self.assertGreaterEqual(max(gaps), 15.0)
        self.assertGreater(len({round(gap, 1) for gap in gaps[6:]}), 5)
        self.assertEqual(self.store.unavailable_since, 100)

    def test_recovery_limits_the_call_rate(self):
        self.inner.set_outage(True)
        code(self.store.get("k"))
        self.inner.set_outage(False)
        self.clock.advance(1.0)
        result(self.store.get("k"))
        self.assertIsNone(self.store.unavailable_since)
        before = self.inner.counts["get"]
        calls = [self.store.get("k") for _ in range(60)]
        refused = [call for call in calls if call.called][5:]
        self.assertEqual(
            {code(call) for call in refused}, {"store_unavailable"}
        )
        for second in range(1, 6):
            self.clock.pump([0.1] * 10)
            sent = self.inner.counts["get"] - before
            self.assertLessEqual(sent, 5 + 5 * second)
        self.assertGreaterEqual(sent, 25)

    def test_one_call_probes_the_store_and_a_watch_does_not(self):
        self.inner.set_outage(True)
        code(self.store.get("k"))
        self.inner.set_outage(False)
        self.inner.faults.slow = 1.0
        self.clock.advance(1.0)
        watching = self.store.watch("k", 0, 30)
        self.assertEqual(code(self.store.get("k")), "store_unavailable")
        self.clock.advance(1.0)
        self.assertIsNone(self.store.unavailable_since)
        self.assertFalse(watching.called)
        self.assertEqual(self.inner.counts["watch"], 1)

    def test_conflict_ends_the_outage(self):
        self.inner.set_outage(True)
        code(self.store.get("k"))
        self.inner.set_outage(False)
        self.clock.advance(1.0)
        self.assertEqual(code(self.store.put("k", b"", 9)), "store_conflict")
        self.assertIsNone(self.store.unavailable_since)
