"""Tests of request bodies that are sent to more than one target."""

import random
import unittest

from parameterized import parameterized
from twisted.internet import defer

from cicadafront import errors
from cicadafront.edge import attempt, buffers
from cicadafront.peer import exchange, flow
from tests.edge import test_dispatch
from tests.support import memory

CHUNK_BYTES = 8 * 1024
PAST_BUFFER = buffers.MAX_BUFFERED_BYTES // CHUNK_BYTES + 4


class SlowBudget:
    """Allows retries, each only when `reply` is called."""

    def __init__(self):
        self._waiting = []

    def request(self, service, now, repeated=0.0):
        pass

    def try_retry(self, service, now):
        waiting = defer.Deferred()
        self._waiting.append(waiting)
        return waiting

    def reply(self):
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            each.callback(True)


class Upload:
    """An upload in chunks through the edge.

    Attributes:
        sent: The body that the caller has sent so far.
    """

    def __init__(self, slow_budget, attempts=3):
        self.edge = test_dispatch.Edge(attempts=attempts, end=False)
        self.budget = SlowBudget()
        if slow_budget:
            self.edge.edge_dependencies.budget = self.budget
        self.sent = b""

    def send(self, chunks, last=False):
        for _ in range(chunks):
            data = len(self.sent).to_bytes(8, "big") * (CHUNK_BYTES // 8)
            self.sent += data
            self.edge.sink.body(data)
        if last:
            self.edge.sink.end()

    def granted(self):
        self.edge.last[2].granted()

    def refused_early(self, consumed=CHUNK_BYTES):
        """Lets the target take a part of the body, and refuse the request."""
        self.edge.last[2].consumed(consumed)
        self.edge.refuse("target_shed")

    def silent_agent(self):
        self.edge.clock.advance(attempt.GRANT_TIMEOUT_SECONDS)


class EarlyRefusalTest(unittest.TestCase):
    """Guards against uploads that run with an empty or shortened body.

    A target refused an upload before the body was in, and the rest arrived
    while the next attempt waited.
    """

    @parameterized.expand(
        [
            (f"{name} {'ended' if ended else 'running'}", *rest, ended)
            for name, *rest in [
                ("for the budget", True, 0),
                ("for the grant", False, 0),
                ("for both", True, 1),
                ("for the second grant", False, 1),
            ]
            for ended in (True, False)
        ]
    )
    def test_body_arrives_while_the_retry_waits(
        self, _name, slow_budget, silent_agents, ended
    ):
        upload = Upload(slow_budget)
        upload.send(3)
        upload.granted()
        upload.refused_early()
        upload.send(PAST_BUFFER, last=ended)
        upload.budget.reply()
        for _ in range(silent_agents):
            upload.silent_agent()
        upload.granted()
        if not ended:
            upload.send(3, last=True)
        sink = upload.edge.last[3]
        self.assertEqual(sink.data, upload.sent)
        self.assertTrue(sink.ended)

    def test_second_early_refusal(self):
        upload = Upload(slow_budget=True)
        upload.send(3)
        for _ in range(2):
            upload.granted()
            upload.refused_early()
            upload.send(1)
            upload.budget.reply()
        upload.send(PAST_BUFFER, last=True)
        upload.granted()
        self.assertEqual(upload.edge.last[3].data, upload.sent)

    def test_refusal_after_the_body_was_discarded(self):
        upload = Upload(slow_budget=False)
        upload.send(PAST_BUFFER)
        upload.granted()
        upload.refused_early()
        upload.send(1, last=True)
        self.assertEqual(len(upload.edge.attempts), 1)
        self.assertEqual(upload.edge.caller.events, [("target_shed", "no")])

    @parameterized.expand([(seed,) for seed in range(200)])
    def test_no_target_gets_a_part_of_a_body(self, seed):
        rng = random.Random(seed)
        upload = Upload(slow_budget=rng.random() < 0.7, attempts=4)
        upload.send(2)
        left = rng.randrange(24)
        for _ in range(60):
            match rng.randrange(6):
                case 0 | 1 if left:
                    left -= 1
                    upload.send(1, last=not left)
                case 2:
                    upload.granted()
                case 3:
                    upload.budget.reply()
                case 4 if rng.random() < 0.3:
                    upload.silent_agent()
                case 5 if upload.edge.last[3].data:
                    taken = rng.randrange(1, len(upload.edge.last[3].data))
                    upload.edge.last[2].consumed(taken)
                    if rng.random() < 0.5:
                        upload.edge.refuse("target_shed")
        for _, _, _, sink in upload.edge.opener.opened:
            self.assertTrue(upload.sent.startswith(sink.data))
            if sink.ended:
                self.assertEqual(sink.data, upload.sent)

    def test_kept_body_fits_the_window_of_the_next_agent(self):
        transport = memory.Transport()
        throttle = flow.ReadThrottle(transport)
        body = buffers.RequestBodyBuffer()

        def arrive():
            body.add(bytes(CHUNK_BYTES))
            throttle.sent(CHUNK_BYTES)

        while body.size < buffers.MAX_BUFFERED_BYTES:
            arrive()
        body.hand_over()
        throttle.consumed(body.mark_consumed(body.size))
        body.take_back()
        while not throttle.paused:
            arrive()
        # The transport may deliver one more read after it was paused.
        for _ in range(exchange.CHUNK_BYTES // CHUNK_BYTES - 1):
            arrive()
        kept = b"".join(body.hand_over())
        self.assertEqual(len(kept), body.size)
        window = flow.ReceiveWindow()
        self.assertTrue(window.received(len(kept)))

    def test_discarded_body_is_not_handed_over(self):
        body = buffers.RequestBodyBuffer()
        body.add(bytes(buffers.MAX_BUFFERED_BYTES + 1))
        body.hand_over()
        body.mark_consumed(1)
        body.take_back()
        with self.assertRaises(errors.BodyDiscardedError):
            body.hand_over()


if __name__ == "__main__":
    unittest.main()
