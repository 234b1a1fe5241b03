"""Tests of the pool of links and of relayed streams."""

import unittest

from twisted.internet import defer, error, task
from twisted.python import failure

from cicadafront import errors, model
from cicadafront.peer import codec, exchange, link, pool
from tests.support import memory

HEAD = model.RequestHead("GET", "/x", ())
REQUEST = exchange.OpenRequest(HEAD, "", "s", "t", 5.0)


class Reactor(task.Clock):
    """Notes connection attempts."""

    def __init__(self):
        super().__init__()
        self.attempts = []

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        self.attempts.append((host, port, factory))


class Here:
    """The pool of the instance `here`."""

    def __init__(self, max_links=3):
        self.reactor = Reactor()
        self.opener = memory.Opener()
        self.handlers = {}
        hello = codec.Hello("here", 1, link.PROTOCOL_VERSION)
        services = link.Services(
            hello, self.opener, self.handlers, self.reactor
        )
        self.pool = pool.Pool(
            services, self._address, self.reactor, self.handlers, max_links
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
    """Guards against links that pile up and requests that wait for nothing."""

    def test_local_exchange_needs_no_link(self):
        here = Here()
        here.open("here")
        self.assertEqual(here.reactor.attempts, [])
        self.assertEqual(here.opener.opened[0][1], REQUEST)

    def test_one_link_for_an_instance(self):
        here = Here()
        here.open("a")
        here.connect()
        here.open("a")
        self.assertEqual(len(here.reactor.attempts), 1)

    def test_unknown_instance(self):
        here = Here()
        _, response = here.open("unknown")
        here.reactor.advance(0)
        self.assertEqual(response.events, [("link_lost", "no")])

    def test_unreachable_instance_is_left_alone_for_a_while(self):
        here = Here()
        _, first = here.open("a")
        here.refuse()
        self.assertEqual(first.events, [("link_lost", "no")])
        _, second = here.open("a")
        here.reactor.advance(0)
        self.assertEqual(second.events, [("link_lost", "no")])
        self.assertEqual(len(here.reactor.attempts), 1)
        here.reactor.advance(pool.DOWN_SECONDS)
        here.open("a")
        self.assertEqual(len(here.reactor.attempts), 2)

    def test_lost_link_is_opened_anew(self):
        here = Here()
        _, response = here.open("a")
        made = here.connect()
        made.connectionLost(failure.Failure(error.ConnectionLost()))
        self.assertEqual(response.events, [("link_lost", "unknown")])
        here.open("a")
        self.assertEqual(len(here.reactor.attempts), 2)

    def test_least_recently_used_idle_link_is_closed(self):
        here = Here(max_links=3)
        made = {}
        for id in ("busy", "b", "c"):
            request, _ = here.open(id)
            made[id] = here.connect()
            here.reactor.advance(1)
            if id != "busy":
                request.cancel()
        here.reactor.advance(1)
        again, _ = here.open("b")
        again.cancel()
        here.open("d")
        closed = [id for id, found in made.items() if found.closed]
        self.assertEqual(closed, ["c"])
        self.assertEqual(len(here.pool), 3)

    def test_idle_links_are_closed(self):
        here = Here()
        request, _ = here.open("a")
        made = here.connect()
        here.reactor.advance(pool.IDLE_SECONDS)
        here.pool.close_idle()
        self.assertFalse(made.closed)
        request.cancel()
        here.reactor.advance(pool.IDLE_SECONDS)
        here.pool.close_idle()
        self.assertTrue(made.closed)

    def test_local_calls(self):
        here = Here()
        here.pool.register("m", lambda peer, body: peer.encode() + body)
        here.pool.register("bad", lambda *_: defer.fail(KeyError("x")))
        here.pool.register("slow", lambda *_: defer.Deferred())
        here.pool.register(
            "typed", lambda *_: defer.fail(errors.StoreConflictError("x"))
        )
        seen = []
        here.pool.call("here", "m", b"in", 1).addCallback(seen.append)
        for method in ("bad", "typed", "none", "slow"):
            result = here.pool.call("here", method, b"", 1)
            result.addErrback(lambda reason: seen.append(reason.value.code))
        here.reactor.advance(2)
        expected = ["internal_error", "store_conflict", "method_unknown"]
        self.assertEqual(seen, [b"herein", *expected, "call_timeout"])


class RelayTest(unittest.TestCase):
    """Guards against relayed streams that wander on."""

    def _relay(self, relay_to):
        agent = memory.Opener()
        further = memory.Opener()
        relay = pool.Relay("here", agent, further.open_at)
        request = exchange.OpenRequest(
            HEAD, "", "s", "t", 5.0, relay_to=relay_to
        )
        relay.open(request, memory.Response())
        return agent.opened, further.opened

    def test_stream_for_this_instance(self):
        for relay_to in ("", "here"):
            local, further = self._relay(relay_to)
            self.assertEqual((len(local), len(further)), (1, 0))

    def test_stream_for_another_instance(self):
        local, further = self._relay("there")
        self.assertEqual((len(local), len(further)), (0, 1))
        instance, request, _, _ = further[0]
        self.assertEqual((instance, request.relay_to), ("there", ""))
