"""Tests of the link pool and of relayed streams."""

import unittest

import attrs
from parameterized import parameterized
from twisted.internet import defer, error, task
from twisted.python import failure

from cicadafront import errors, model
from cicadafront.peer import codec, exchange, link, pool
from tests.support import memory

HEAD = model.RequestHead("GET", "/x", ())
LOAD = exchange.Load()
REQUEST = exchange.OpenRequest(HEAD, "", "s", "t", 5.0)


class Reactor(task.Clock):
    """Records connection attempts."""

    def __init__(self):
        super().__init__()
        self.attempts = []

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        self.attempts.append((host, port, factory))


class PoolFixture:
    """Sets up the pool of the instance "here"."""

    def __init__(self, max_links=3):
        self.reactor = Reactor()
        self.opener = memory.Opener()
        self.handlers = {}
        hello = codec.Hello("here", 1, link.PROTOCOL_VERSION)
        context = link.LinkContext(
            hello, self.opener, self.handlers, self.reactor
        )
        self.pool = pool.Pool(
            context, self._address, self.reactor, self.handlers, max_links
        )

    def _address(self, instance):
        return None if instance == "unknown" else (instance, 1)

    def connect(self, index=-1):
        """Completes a connection attempt."""
        host, _, factory = self.reactor.attempts[index]
        made = factory.buildProtocol(None)
        made.makeConnection(memory.Transport())
        hello = codec.Hello(host, 1, link.PROTOCOL_VERSION)
        made.stringReceived(codec.encode(hello))
        return made

    def refuse(self, index=-1):
        """Fails a connection attempt."""
        reason = failure.Failure(error.ConnectionRefusedError())
        self.reactor.attempts[index][2].clientConnectionFailed(None, reason)

    def open(self, instance):
        """Opens an exchange at an instance."""
        response = memory.Response()
        request = self.pool.open(instance, REQUEST, response)
        return request, response


class PoolTest(unittest.TestCase):
    """Guards against leaked links and requests that wait in vain.

    Idle links must be closed, and requests to an unknown or unreachable
    instance must fail at once.
    """

    def test_local_exchange_needs_no_link(self):
        fixture = PoolFixture()
        fixture.open("here")
        self.assertEqual(fixture.reactor.attempts, [])
        self.assertEqual(fixture.opener.opened[0][1], REQUEST)

    def test_one_link_for_an_instance(self):
        fixture = PoolFixture()
        fixture.open("a")
        fixture.connect()
        fixture.open("a")
        self.assertEqual(len(fixture.reactor.attempts), 1)

    def test_unknown_instance(self):
        fixture = PoolFixture()
        _, response = fixture.open("unknown")
        fixture.reactor.advance(0)
        self.assertEqual(response.events, [("link_lost", "no")])

    def test_unreachable_instance_is_not_retried_at_once(self):
        fixture = PoolFixture()
        _, first = fixture.open("a")
        fixture.refuse()
        self.assertEqual(first.events, [("link_lost", "no")])
        _, second = fixture.open("a")
        fixture.reactor.advance(0)
        self.assertEqual(second.events, [("link_lost", "no")])
        self.assertEqual(len(fixture.reactor.attempts), 1)
        fixture.reactor.advance(pool.DOWN_SECONDS)
        fixture.open("a")
        self.assertEqual(len(fixture.reactor.attempts), 2)

    def test_lost_link_is_reopened(self):
        fixture = PoolFixture()
        _, response = fixture.open("a")
        made = fixture.connect()
        made.connectionLost(failure.Failure(error.ConnectionLost()))
        self.assertEqual(response.events, [("link_lost", "unknown")])
        fixture.open("a")
        self.assertEqual(len(fixture.reactor.attempts), 2)

    def test_least_recently_used_idle_link_is_closed(self):
        fixture = PoolFixture(max_links=3)
        made = {}
        for id in ("busy", "b", "c"):
            request, _ = fixture.open(id)
            made[id] = fixture.connect()
            fixture.reactor.advance(1)
            if id != "busy":
                request.cancel()
        fixture.reactor.advance(1)
        again, _ = fixture.open("b")
        again.cancel()
        fixture.open("d")
        closed = [id for id, found in made.items() if found.closed]
        self.assertEqual(closed, ["c"])
        self.assertEqual(len(fixture.pool), 3)

    def test_idle_links_are_closed(self):
        fixture = PoolFixture()
        request, _ = fixture.open("a")
        made = fixture.connect()
        fixture.reactor.advance(pool.IDLE_SECONDS)
        fixture.pool.close_idle()
        self.assertFalse(made.closed)
        request.cancel()
        fixture.reactor.advance(pool.IDLE_SECONDS)
        fixture.pool.close_idle()
        self.assertTrue(made.closed)

    def test_local_calls(self):
        fixture = PoolFixture()
        fixture.pool.register("m", lambda peer, body: peer.encode() + body)
        fixture.pool.register("bad", lambda *_: defer.fail(KeyError("x")))
        fixture.pool.register("slow", lambda *_: defer.Deferred())
        fixture.pool.register(
            "typed", lambda *_: defer.fail(errors.StoreConflictError("x"))
        )
        seen = []
        fixture.pool.call("here", "m", b"in", 1).addCallback(seen.append)
        for method in ("bad", "typed", "none", "slow"):
            result = fixture.pool.call("here", method, b"", 1)
            result.addErrback(lambda reason: seen.append(reason.value.code))
        fixture.reactor.advance(2)
        expected = ["internal_error", "store_conflict", "method_unknown"]
        self.assertEqual(seen, [b"herein", *expected, "call_timeout"])


class SuspectLinkTest(unittest.TestCase):
    """Guards against work on a link whose peer has gone silent.

    Other connections to the same peer may work.
    """

    def setUp(self):
        self.fixture = PoolFixture()
        _, self.response = self.fixture.open("a")
        self.old = self.fixture.connect()

    def _advance(self, seconds):
        # Longer steps look like pauses of the process.
        self.fixture.reactor.pump([0.1] * round(seconds / 0.1))

    def _suspect(self):
        self._advance(0.8)

    def _pong(self, made):
        made.stringReceived(codec.encode(codec.Pong(0)))

    def test_new_work_waits_for_a_new_link(self):
        self._suspect()
        self.assertEqual(len(self.fixture.reactor.attempts), 2)
        self.old.transport.clear()
        self.fixture.open("a")
        self.assertEqual(self.old.transport.value(), b"")
        new = self.fixture.connect()
        self.assertTrue(new.busy)
        self.assertFalse(self.old.closed)

    @parameterized.expand(
        [
            ("waits for its slot", True, False, 0.8, ("link_lost", "no")),
            ("was confirmed", True, True, 2.1, ("link_lost", "unknown")),
            (
                "needs no confirmation",
                False,
                False,
                2.1,
                ("link_lost", "unknown"),
            ),
        ]
    )
    def test_request_on_a_suspect_link(
        self, _name, confirm, confirmed, seconds, expected
    ):
        response = memory.Response()
        request = self.fixture.pool.open(
            "a", attrs.evolve(REQUEST, confirm=confirm), response
        )
        if confirmed:
            request.go()
        self._advance(seconds - 0.2)
        self.assertEqual(response.events, [])
        self.assertEqual(response.suspected, seconds > 1)
        self._advance(0.2)
        self.assertEqual(response.events, [expected])

    def test_recovered_link_is_used_if_no_new_one_connects(self):
        self._suspect()
        self._pong(self.old)
        self.fixture.refuse()
        self.assertFalse(self.fixture.pool.is_down("a"))
        self.fixture.open("a")
        self.assertEqual(len(self.fixture.reactor.attempts), 2)
        self.assertEqual(self.response.events, [])

    @parameterized.expand([("before the hello", True), ("after it", False)])
    def test_surplus_link_is_closed_once_it_is_idle(self, _name, early):
        self._suspect()
        if early:
            self._pong(self.old)
            surplus, used = self.fixture.connect(), self.old
        else:
            surplus, used = self.old, self.fixture.connect()
            self._pong(self.old)
            self.fixture.pool.close_idle()
            self.assertFalse(surplus.closed)
            surplus.stringReceived(
                codec.encode(codec.Reset(1, errors.RequestError("x"), LOAD))
            )
        self.fixture.pool.close_idle()
        self.assertTrue(surplus.closed)
        self.assertFalse(used.closed)
        self.assertEqual(len(self.fixture.pool), 1)


class CheckAllTest(unittest.TestCase):
    """Guards against a wait on each of many links that failed together."""

    def setUp(self):
        self.fixture = PoolFixture(max_links=9)
        self.made = {}
        for id in ("a", "b", "c"):
            request, _ = self.fixture.open(id)
            self.made[id] = self.fixture.connect()
            request.cancel()
            self._answer(id)

    def _answer(self, id):
        pong = codec.encode(codec.Pong(0))
        self.made[id].stringReceived(pong)
        self.made[id].transport.clear()

    def _advance(self, seconds):
        self.fixture.reactor.pump([0.05] * round(seconds / 0.05))

    def test_idle_links_are_checked_when_one_is_silent(self):
        self._advance(5.0)
        self.fixture.open("a")
        self._advance(0.85)
        self.assertTrue(self.made["a"].suspect)
        self._answer("b")
        self._advance(0.3)
        hosts = [host for host, _, _ in self.fixture.reactor.attempts]
        self.assertEqual(hosts, ["a", "b", "c", "a", "c"])

    def test_answered_links_cost_no_pings(self):
        self._advance(5.0)
        request, _ = self.fixture.open("a")
        request.cancel()
        self._answer("a")
        for made in self.made.values():
            made.transport.clear()
        self._advance(5.0)
        for made in self.made.values():
            self.assertEqual(made.transport.value(), b"")


class RelayTest(unittest.TestCase):
    """Guards against streams that are relayed more than once.

    This happens when a relayed request still has `relay_to` set.
    """

    def _relay(self, relay_to):
        agent = memory.Opener()
        remote = memory.Opener()
        relay = pool.Relay("here", agent, remote.open_at)
        request = exchange.OpenRequest(
            HEAD, "", "s", "t", 5.0, relay_to=relay_to
        )
        relay.open(request, memory.Response())
        return agent.opened, remote.opened

    def test_stream_for_this_instance(self):
        for relay_to in ("", "here"):
            local, remote = self._relay(relay_to)
            self.assertEqual((len(local), len(remote)), (1, 0))

    def test_stream_for_another_instance(self):
        local, remote = self._relay("there")
        self.assertEqual((len(local), len(remote)), (0, 1))
        instance, request, _, _ = remote[0]
        self.assertEqual((instance, request.relay_to), ("there", ""))
