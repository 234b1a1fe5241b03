"""One exchange at a target."""

import collections
import enum
import itertools
import random
from typing import Any, Protocol

from cicadafront import dialect, errors, headers, model, shutdown
from cicadafront.agent import (
    connection,
    idle,
    observer,
    queue,
    run_trace,
    targets,
    verify,
)
from cicadafront.health import suspects
from cicadafront.peer import exchange
from cicadafront.telemetry import metrics, tracing

# An entry answers within a few milliseconds; a slot does not wait for one
# that is cut off.
GO_SECONDS = 0.3
# A caller learns of a possible crash after the other instances do, so that it
# cannot send the request to one that does not know it yet.
_HELD_KINDS = frozenset({"closed", "short"})

_REASONS = {
    "refused": "accepts no connections",
    "closed": "closed the connection without an answer",
    "short": "broke off its answer",
    "mangled": "sent bytes that are no valid answer",
    "endless": "sends an answer without end",
    "crossed": "answered another request",
    "unstated": "refused the request without stating that it did not run",
    "stalled": "stalls and is ejected",
}


class Site(Protocol):
    """The agent as its exchanges use it."""

    slots: queue.Queue
    watcher: observer.Observer
    connector: targets.Connector
    clock: Any
    idle: idle.IdleConnections
    accepting: bool
    tracer: tracing.Tracer
    metrics: metrics.Metrics
    running: "set[Run]"
    words: dialect.Dialect
    stopping: shutdown.Shutdown
    counts: collections.Counter[str]

    def place(self, id: str) -> targets.LocalTarget:
        """Returns a target that takes work, or raises a `RequestError`."""


_NO_HEAD = model.ResponseHead(0, ())
_EXCHANGE_IDS = itertools.count(random.SystemRandom().getrandbits(62))


class _State(enum.Enum):
    QUEUED = "queued"
    GRANTED = "granted"
    CONNECTING = "connecting"
    RUNNING = "running"
    DONE = "done"


class Run:
    """Runs one request; a `RequestSink` and a `connection.Exchange`."""

    def __init__(
        self,
        owner: Site,
        request: exchange.OpenRequest,
        response: exchange.ResponseSink,
    ):
        now = owner.clock.seconds()
        self._agent = owner
        self._request = request
        self._response = response
        self._state = _State.QUEUED
        self._opened = now
        self._deadline = now + request.timeout
        self._entry: queue.Entry | None = None
        self._trace = run_trace.RunTrace(owner.tracer, owner.metrics, request)
        self._timer: Any = None
        self._waiting_go: Any = None
        self._connection: connection.TargetConnection | None = None
        self._pending: list[bytes] = []
        self._ended = False
        self._token: object = None
        self._started = 0.0
        self._headed = False
        self._head = _NO_HEAD
        self._held: list[bytes] = []
        self._refusal: model.ResponseHead | None = None
        self._refusal_left = verify.HELD_BYTES
        self._answered = observer.Completed(0, 0.0)
        self._check = verify.AnswerCheck(
            self._exchange_id(), request.head.method, owner.words
        )

    def _exchange_id(self) -> bytes:
        words = self._agent.words
        if words.caller_exchange_id:
            fields = self._request.head.headers
            return headers.value_of(fields, words.exchange_id_name)
        return b"%016x" % next(_EXCHANGE_IDS)

    def start(self) -> None:
        """Asks for a slot."""
        try:
            place = self._agent.place(self._request.target)
        except errors.RequestError as error:
            self.refuse(error)
            return
        request = self._request
        self._entry = queue.Entry(
            request.target,
            place.target.slots,
            request.account,
            request.weight,
            self._deadline,
            request.fingerprint,
            request.insist,
            request.priority,
            request.repeatable,
            request.objective,
            request.arrivals > 0,
        )
        self._timer = self._agent.clock.callLater(request.timeout, self._expire)
        self._agent.slots.submit(self._entry, self._slot, self.refuse)

    # Request body, from the entry.

    def body(self, data: bytes) -> None:
        """Passes on a piece of the request body."""
        if self._state is _State.RUNNING and self._connection is not None:
            self._connection.send_body(data)
        elif self._state is not _State.DONE:
            self._pending.append(data)

    def end(self) -> None:
        """Passes on the end of the request body."""
        self._ended = True
        if self._state is _State.RUNNING and self._connection is not None:
            self._connection.send_end()
            self._judge()

    def cancel(self) -> None:
        """Closes the target connection."""
        self._agent.running.discard(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._close(observer.Cancelled())

    def consumed(self, count: int) -> None:
        """Lets the target send further answer bytes."""
        if self._state is _State.RUNNING and self._connection is not None:
            self._connection.source.consumed(count)

    # Slot and connection.

    def go(self) -> None:
        """Lets a request that has a slot run."""
        if self._state is _State.GRANTED:
            if self._waiting_go is not None and self._waiting_go.active():
                self._waiting_go.cancel()
            self._state = _State.QUEUED
            self._connect()

    def _ask_to_go(self) -> None:
        self._state = _State.GRANTED
        self._waiting_go = self._agent.clock.callLater(GO_SECONDS, self._no_go)
        self._response.granted()

    def _no_go(self) -> None:
        self.refuse(
            errors.LinkLostError(
                "The entry did not confirm the request; try again."
            )
        )

    def _slot(self) -> None:
        if self._request.confirm:
            self._ask_to_go()
        else:
            self._connect()

    def _connect(self) -> None:
        if self._state is not _State.QUEUED:
            return
        if self._is_late():
            # The slot came free at the very deadline.
            self._expire()
            return
        if not self.fits():
            self.refuse_waiting()
            return
        try:
            place = self._agent.place(self._request.target)
        except errors.RequestError as error:
            self.refuse(error)
            return
        self._state = _State.CONNECTING
        self._trace.granted()
        if self._request.repeatable:
            # A reused connection that turns out stale cannot tell whether
            # the request ran, so only repeatable requests take that risk.
            found = self._agent.idle.take(self._request.target)
            if found is not None:
                found.run(self)
                return
        made = connection.TargetConnection(
            self._request.target, self._agent.idle, self
        )
        failed = self._agent.connector.connect(place, made)
        failed.addErrback(lambda _: self.broken("refused"))

    def connected(self, connection: connection.TargetConnection) -> None:
        """Hands the request over."""
        if self._state is not _State.CONNECTING:
            connection.abort()
            return
        if self._is_late():
            connection.abort()
            self._expire()
            return
        self._connection = connection
        self._state = _State.RUNNING
        connection.send_head(self._request_head())
        pending, self._pending = self._pending, []
        for data in pending:
            connection.send_body(data)
        if self._ended:
            connection.send_end()
            self._judge()

    def _judge(self) -> None:
        """Starts to judge the target: the whole request is with it."""
        if self._token is None:
            self._started = self._agent.clock.seconds()
            self._token = self._agent.watcher.started(
                self._started, self._request.target, self._request
            )

    def _request_head(self) -> model.RequestHead:
        words = self._agent.words
        head = self._request.head
        remaining = self._deadline - self._agent.clock.seconds()
        millis = max(0, int(remaining * 1000))
        kept = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in words.at_agent
        ]
        if not headers.value_of(kept, b"host"):
            kept.insert(0, (b"Host", self._request.service.encode()))
        kept.append((words.deadline, b"%d" % millis))
        trace = self._trace.handed_over(self._check.exchange_id)
        if words.traced:
            kept.append((b"Traceparent", trace.encode()))
        if not words.caller_exchange_id:
            kept.append((words.exchange_id, self._check.exchange_id))
        if self._request.account:
            kept.append((words.account, self._request.account.encode()))
        if words.expected_target:
            kept.append((words.expected_target, self._request.target.encode()))
        return model.RequestHead(head.method, head.path, tuple(kept))

    # Answer, from the target.

    def answer_head(self, head: model.ResponseHead) -> None:
        """Passes on the head of the answer."""
        found = self._connection
        identified = found is not None and found.copies_id
        checked = self._check.head(head, identified)
        if checked is None:
            self.broken("crossed")
            return
        if self._check.not_run(head):
            # Bytes that follow it may show that the request ran.
            self._trace.headed(head.status)
            self._refusal = head
            return
        if self._check.unstated(head):
            self.broken("unstated")
            return
        if not self._check.genuine(head):
            self.broken("mangled")
            return
        self._trace.headed(head.status)
        self._judge()
        now = self._agent.clock.seconds()
        self._answered = observer.Completed(head.status, now - self._started)
        self._head = checked
        if not self._check.held:
            self._pass_head(now)

    def _shed(self, head: model.ResponseHead) -> None:
        """Ends an exchange that the target has refused to run."""
        self._close(observer.Shed(head.status), errors.TargetShedError.code)
        self._response.fail(
            errors.TargetShedError(
                f"Target {self._request.target} refused the request with "
                f"{head.status}; try again.",
                retry_after=1.0,
            ),
            self._load(),
        )

    def _pass_head(self, now: float) -> None:
        self._headed = True
        # The caller paces the rest of the answer, so its time is not judged.
        self._agent.watcher.answered(now, self._token, self._head.status)
        self._response.head(self._head, self._load())

    def answer_body(self, data: bytes) -> None:
        """Passes on a piece of the answer."""
        if self._refusal is not None:
            self._refusal_left -= len(data)
            if self._refusal_left < 0:
                self.broken("endless")
            return
        self._check.body(data)
        if self._headed:
            self._response.body(data)
        else:
            self._held.append(data)

    def answer_end(self, reusable: bool, mangled: bool) -> None:
        """Passes on the end of the answer and frees the slot."""
        if self._state is not _State.RUNNING:
            return
        if self._refusal is not None:
            self._end_refusal(self._refusal, mangled)
            return
        if not self._check.intact():
            self.broken("mangled")
            return
        if not self._headed:
            self._pass_head(self._agent.clock.seconds())
            self._response.body(b"".join(self._held))
        outcome: observer.Outcome = self._answered
        if mangled:
            self._trace.broken("mangled")
            outcome = observer.Failed("mangled")
        self._keep_connection(reusable)
        self._close(outcome, run_trace.OK)
        self._response.end()

    def _keep_connection(self, reusable: bool) -> None:
        """Keeps the connection for further requests, or closes it."""
        found, self._connection = self._connection, None
        if found is None or not reusable:
            return
        if not self._agent.accepting or not self._check.reusable():
            found.abort()
            return
        found.copies_id = found.copies_id or self._check.copied
        limit = self._entry.slots if self._entry is not None else 0
        self._agent.idle.put(found, limit)

    def _end_refusal(self, head: model.ResponseHead, mangled: bool) -> None:
        """Takes a refusal, unless the target has sent more than that."""
        found = self._connection
        if mangled or (found is not None and found.peek()):
            self.broken("mangled")
        else:
            self._shed(head)

    def broken(self, kind: str) -> None:
        """Ends the exchange because the target failed."""
        if self._state is _State.DONE:
            return
        executed = errors.Executed.UNKNOWN
        if self._state is not _State.RUNNING:
            executed = errors.Executed.NO
        self._judge()
        self._trace.broken(kind)
        self._close(observer.Failed(kind), errors.TargetFailedError.code)
        error = errors.TargetFailedError(
            f"Target {self._request.target} {_REASONS[kind]}.",
            executed=executed,
        )
        if kind not in _HELD_KINDS:
            self._report(error)
            return
        # A planned stop waits for the report.
        self._agent.running.add(self)
        self._timer = self._agent.clock.callLater(
            suspects.CRASH_HOLD_SECONDS, self._report, error
        )

    def _report(self, error: errors.RequestError) -> None:
        self._agent.running.discard(self)
        self._response.fail(error, self._load())

    def abandon(self) -> None:
        """Fails a repeatable request that an ejected target stalls."""
        running = self._state is _State.RUNNING and not self._headed
        if running and self._request.repeatable:
            self.broken("stalled")

    @property
    def target(self) -> str:
        """Id of the target."""
        return self._request.target

    def body_consumed(self, count: int) -> None:
        """Opens the window for further request bytes."""
        self._response.consumed(count)

    # Ends.

    def _expire(self) -> None:
        if self._state is _State.DONE:
            return
        handed_over = self._state is _State.RUNNING
        seconds = self._agent.clock.seconds() - self._started
        executed = errors.Executed.NO
        if handed_over:
            executed = errors.Executed.UNKNOWN
        code = errors.DeadlineExceededError.code
        outcome: observer.Outcome = observer.Stalled(seconds)
        if self._sends_on():
            self._trace.broken("endless")
            outcome = observer.Failed("endless")
        self._close(outcome, code)
        self._response.fail(
            errors.DeadlineExceededError(
                "The time limit of the route has passed.", executed=executed
            ),
            self._load(),
        )

    def _sends_on(self) -> bool:
        """Tells whether the target has begun an answer and does not end it.

        An answer that waits for its caller is not the target's fault.
        """
        found = self._connection
        return self._headed and found is not None and not found.source.paused

    def _is_late(self) -> bool:
        return self._agent.clock.seconds() >= self._deadline

    def refuse(self, error: errors.RequestError) -> None:
        """Ends an exchange that was not handed over."""
        if self._state is not _State.DONE:
            self._close(observer.Cancelled(), error.code)
            self._response.fail(error, self._load())

    def fits(self) -> bool:
        """Whether the request can end before a planned stop does."""
        return self._agent.stopping.admits(
            self._agent.clock.seconds(),
            self._opened,
            self._deadline,
            self._request.objective,
        )

    def refuse_waiting(self) -> None:
        """Refuses a request that its target does not have, for a stop."""
        if self._state not in (_State.RUNNING, _State.DONE):
            self._agent.counts["stop_refused_at_agent"] += 1
            self.refuse(shutdown.refusal())

    def _judged(self, outcome: observer.Outcome) -> None:
        """Reports an outcome of what was judged since `_judge`, if any."""
        token, self._token = self._token, None
        if token is not None:
            now = self._agent.clock.seconds()
            self._agent.watcher.finished(now, token, outcome)

    def _close(
        self, outcome: observer.Outcome, code: str = run_trace.CANCELLED
    ) -> None:
        if self._state is _State.DONE:
            return
        self._state = _State.DONE
        self._trace.finish(code)
        for timer in (self._timer, self._waiting_go):
            if timer is not None and timer.active():
                timer.cancel()
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
        self._pending.clear()
        self._judged(outcome)
        self._agent.running.discard(self)
        if self._entry is not None:
            self._agent.slots.remove(self._entry)

    def _load(self) -> exchange.Load:
        return self._agent.slots.load(self._request.target)
