"""Tests of a planned stop at the agent, on virtual time."""

import unittest

from parameterized import parameterized

from cicadafront import model, shutdown
from cicadafront.peer import exchange
from tests.support import agent, memory

LATE_SECONDS = 2.5
CUT_SECONDS = 5.2


class Response(memory.Response):
    """A response sink that records a request for confirmation."""

    confirmation_requested = False

    def granted(self):
        self.confirmation_requested = True


class StopTest(unittest.TestCase):
    """Guards against requests that a planned stop interrupts.

    An agent that sends a request to a target although it cannot finish before
    the stop leaves the caller with an unknown outcome; such a request must be
    refused as not run.
    """

    def setUp(self):
        self.fixture = agent.AgentFixture(slots=1)

    def stop(self):
        now = self.fixture.clock.seconds()
        self.fixture.agent.stopping.schedule = shutdown.Schedule(
            now + LATE_SECONDS, now + CUT_SECONDS
        )

    def assert_not_run(self, response):
        self.assertEqual(response.error.executed.value, "no")
        self.assertEqual(response.error.status, 503)

    @parameterized.expand(
        [
            ("fits", 1.0, 30.0, 0.5, True),
            ("too slow for what is left", 1.0, 30.0, 5.0, False),
            ("late", 2.6, 30.0, 0.5, False),
            ("late, its limit ends in time", 2.6, 1.0, 0.5, True),
        ]
    )
    def test_new_request(self, _name, seconds, timeout, objective, taken):
        self.stop()
        self.fixture.clock.advance(seconds)
        _, response = self.fixture.open(timeout=timeout, objective=objective)
        self.assertEqual(len(self.fixture.connector.connections), taken)
        if not taken:
            self.assert_not_run(response)

    def test_slot_that_becomes_free_too_late(self):
        first, _ = self.fixture.open(timeout=30.0, objective=0.5)
        first.end()
        _, response = self.fixture.open(timeout=30.0, objective=0.5)
        self.stop()
        self.fixture.clock.advance(CUT_SECONDS - 0.5)
        self.fixture.receive(agent.OK)
        self.assertEqual(len(self.fixture.connector.connections), 1)
        self.assert_not_run(response)

    def test_stop_refuses_the_queue_and_finishes_running_requests(self):
        running, answered = self.fixture.open(timeout=30.0, objective=0.5)
        running.end()
        _, quick = self.fixture.open(timeout=30.0, objective=0.5)
        _, slow = self.fixture.open(timeout=30.0, objective=4.0)
        self.stop()
        self.fixture.clock.advance(2.0)
        self.fixture.agent.refuse_waiting()
        self.assert_not_run(slow)
        self.assertIsNone(quick.error)
        self.fixture.clock.advance(2.5)
        self.fixture.agent.refuse_waiting()
        self.assert_not_run(quick)
        self.fixture.receive(agent.OK)
        self.assertEqual(answered.events[-1], "end")

    def test_confirmation_after_refusal(self):
        request = exchange.OpenRequest(
            model.RequestHead("GET", "/x", ()),
            "",
            "s",
            "t",
            30.0,
            objective=0.5,
            confirm=True,
        )
        response = Response()
        opened = self.fixture.agent.open(request, response)
        self.assertTrue(response.confirmation_requested)
        self.fixture.agent.stopping.schedule = shutdown.Schedule(0.0, 0.1)
        self.fixture.agent.refuse_waiting()
        opened.go()
        self.assert_not_run(response)
        self.assertEqual(self.fixture.connector.connections, [])
