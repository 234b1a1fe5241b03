"""Tests of a planned stop at the edge, in virtual time."""

import unittest

import attrs
from parameterized import parameterized

from cicadafront import errors, model, shutdown
from cicadafront.edge import policies
from cicadafront.peer import exchange
from tests.support import memory
from tests.support.edge import GET, KEYED, Edge, SocketTransport, problem

LATE_SECONDS = 2.5
CUT_SECONDS = 5.2
POST = b"POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"


def configuration(**fields):
    """Returns a configuration whose routes have the given fields."""
    whole = memory.configuration()
    routes = {
        id: attrs.evolve(route, **{"objective": 0.5, **fields})
        for id, route in whole.routes.items()
    }
    return attrs.evolve(whole, routes=routes)


class StoppingEdge(Edge):
    """An edge whose instance can start a planned stop."""

    def __init__(self, route=None, **fields):
        self.stopping = shutdown.Shutdown()
        found = configuration(**(route or {}))
        super().__init__(
            stopping=self.stopping, configuration=lambda: found, **fields
        )

    def stop(self):
        now = self.clock.seconds()
        self.stopping.schedule = shutdown.Schedule(
            now + LATE_SECONDS, now + CUT_SECONDS
        )
        self.site.drain()

    @property
    def counts(self):
        return self.site.handler._deps.counts


class LateRequestTest(unittest.TestCase):
    """Guards against forwarding requests that cannot end before the stop.

    The process closes all connections at the end of a planned stop; a request
    that is forwarded too late loses its response.
    """

    def assert_refused(self, data):
        status, head, fields = problem(data)
        self.assertEqual((status, fields["executed"]), (503, "no"))
        self.assertEqual(fields["code"], "instance_leaving")
        self.assertIn(b"retry-after: ", head)
        self.assertEqual(head.count(b"connection: close"), 1)

    @parameterized.expand(
        [
            ("half a head at the signal", [GET[:9]], GET[9:]),
            ("accepted and silent at the signal", [], GET),
            ("body whose head came early", [POST + b"a"], b"b"),
        ]
    )
    def test_read_late(self, _name, early, late):
        edge = StoppingEdge()
        edge.receive(*early)
        edge.stop()
        edge.clock.advance(LATE_SECONDS + 0.1)
        self.assert_refused(edge.receive(late))
        self.assertEqual(edge.opener.opened, [])
        self.assertTrue(edge.transport.half_closed)

    @parameterized.expand(
        [
            ("usual time fits", {}, 1.0, True),
            ("usual time does not fit", {"objective": 5.0}, 1.0, False),
            ("limit of minutes", {"objective": 0.0, "timeout": 120.0}, 1, True),
            ("limit ends in time", {"timeout": 1.5}, 3.0, True),
            ("limit ends at the cut", {"timeout": 2.2}, 3.0, False),
        ]
    )
    def test_request_that_can_end_in_time_is_served(
        self, _name, route, seconds, served
    ):
        edge = StoppingEdge(route)
        edge.stop()
        edge.clock.advance(seconds)
        edge.receive(GET)
        self.assertEqual(len(edge.opener.opened), served)
        self.assertEqual(edge.counts["stop_refused_late"], not served)

    def test_no_retry_that_cannot_end_in_time(self):
        edge = StoppingEdge()
        edge.receive(GET)
        edge.stop()
        edge.clock.advance(CUT_SECONDS - 0.3)
        response = edge.opener.opened[0][2]
        response.fail(errors.TargetBusyError("Busy."), exchange.Load())
        status, _, fields = problem(edge.transport.take())
        self.assertEqual((status, fields["executed"]), (503, "no"))
        self.assertEqual(len(edge.opener.opened), 1)

    def test_admission_too_late(self):
        admission = memory.Admission()
        admission.hold = True
        edge = StoppingEdge(admission=admission)
        edge.receive(
            b"GET /keyed HTTP/1.1\r\nHost: h\r\n"
            b"Authorization: Bearer cf_k1_secret\r\n\r\n"
        )
        edge.stop()
        edge.clock.advance(CUT_SECONDS - 0.3)
        admission.waiting[0].callback(None)
        self.assert_refused(edge.transport.take())
        self.assertEqual(edge.opener.opened, [])


class WaitingRequestTest(unittest.TestCase):
    """Guards against callers that get no response before the process exits.

    A request that waits for admission, for its body or for a slot must be
    refused while the process can still send a response.
    """

    def refused(self, edge):
        """Returns the seconds from the stop to the refusal."""
        began = edge.clock.seconds()
        edge.stop()
        while not edge.transport.value():
            edge.clock.advance(0.1)
            edge.site.handler.refuse_waiting()
            if edge.clock.seconds() > began + CUT_SECONDS:
                self.fail("no response before the connections are closed")
        status, _, fields = problem(edge.transport.take())
        self.assertEqual((status, fields["executed"]), (503, "no"))
        self.assertEqual(edge.counts["stop_refused_waiting"], 1)
        self.assertEqual(edge.site.handler.running, set())
        return edge.clock.seconds() - began

    def test_waits_for_admission(self):
        admission = memory.Admission()
        admission.hold = True
        edge = StoppingEdge(admission=admission)
        edge.receive(KEYED)
        self.assertAlmostEqual(self.refused(edge), 4.4, delta=0.11)

    def test_waits_for_its_body(self):
        edge = StoppingEdge()
        edge.receive(POST + b"a")
        self.assertAlmostEqual(self.refused(edge), LATE_SECONDS, delta=0.11)

    def test_waits_for_a_slot_at_another_instance(self):
        edge = StoppingEdge(dispatch=policies.DispatchPolicy(confirm=True))
        edge.receive(GET)
        self.assertTrue(edge.request.confirm)
        self.assertAlmostEqual(self.refused(edge), 4.4, delta=0.11)
        self.assertTrue(edge.sink.cancelled)

    def test_waits_for_a_slot_behind_a_relay(self):
        edge = StoppingEdge(
            dispatch=policies.DispatchPolicy(confirm=True),
            targets=[memory.target("t1")],
            relay=lambda instance: "third",
        )
        edge.receive(GET)
        error = errors.LinkLostError("Lost.", executed=errors.Executed.NO)
        edge.opener.opened[0][2].fail(error, exchange.Load())
        self.assertEqual(edge.request.relay_to, "i-t1")
        self.assertAlmostEqual(self.refused(edge), 4.4, delta=0.11)
        self.assertTrue(edge.sink.cancelled)

    def test_runs_at_a_target(self):
        edge = StoppingEdge()
        edge.receive(GET)
        edge.stop()
        edge.clock.advance(CUT_SECONDS - 0.1)
        edge.site.handler.refuse_waiting()
        self.assertIn(b"HTTP/1.1 200", edge.answer(body=b"x"))

    @parameterized.expand([("part of a head", [GET[:9]]), ("silent", [])])
    def test_partial_head(self, name, pieces):
        edge = StoppingEdge()
        edge.receive(*pieces)
        edge.stop()
        edge.site.refuse_partial(shutdown.refusal())
        answer = edge.transport.value()
        self.assertEqual(answer.startswith(b"HTTP/1.1 503"), bool(pieces), name)


class KeepAliveTest(unittest.TestCase):
    """Guards against requests that are lost with a keep-alive connection.

    The next request may already be on its way when the server closes the
    connection during a planned stop.
    """

    def test_response_that_began_before_the_stop(self):
        edge = StoppingEdge()
        edge.receive(GET)
        response = edge.opener.opened[-1][2]
        response.head(model.ResponseHead(200, ()), exchange.Load())
        edge.stop()
        edge.site.close_idle()
        response.end()
        self.assertTrue(edge.transport.half_closed)

    def test_pipelined_request_gets_a_response(self):
        edge = StoppingEdge()
        edge.receive(GET + GET)
        edge.stop()
        edge.clock.advance(LATE_SECONDS + 0.1)
        edge.site.close_idle()
        data = edge.answer(fields=((b"Content-Length", b"0"),))
        first, _, second = data.partition(b"\r\n\r\n")
        self.assertTrue(first.startswith(b"HTTP/1.1 200"))
        self.assertNotIn(b"close", first)
        status, head, _ = problem(second)
        self.assertEqual(status, 503)
        self.assertIn(b"connection: close", head)
        self.assertTrue(edge.transport.half_closed)

    @parameterized.expand([("quiet", None, True), ("unread", b"G", False)])
    def test_unread_request_in_the_socket(self, _name, unread, closed):
        edge = StoppingEdge(transport=SocketTransport(unread))
        edge.receive(GET)
        edge.answer(fields=((b"Content-Length", b"0"),))
        edge.stop()
        edge.site.close_idle()
        self.assertEqual(edge.transport.closed, closed)
        if not closed:
            edge.clock.advance(LATE_SECONDS + 0.1)
            self.assertEqual(problem(edge.receive(GET))[0], 503)

    @parameterized.expand(
        [("answered", True, False), ("without an answer", False, True)]
    )
    def test_close_at_process_exit(self, _name, answered, aborted):
        edge = StoppingEdge()
        edge.receive(GET)
        edge.stop()
        if answered:
            edge.answer(body=b"x")
        edge.connection.cut()
        self.assertEqual(edge.transport.aborted, aborted)
        self.assertTrue(edge.transport.disconnecting)
