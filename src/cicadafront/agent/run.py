"""Runs one request at a target."""

import collections
import enum
import http
import itertools
import random
from typing import Any, Protocol

import attrs

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

# An entry confirms within a few milliseconds. A slot is not held longer for an
# entry that is disconnected.
GO_TIMEOUT_SECONDS = 0.3
# A target is told its deadline in whole milliseconds, and may answer as soon as
# it has passed by its own clock.
DEADLINE_SLACK_SECONDS = 0.02
# Failures that may be crashes. They are reported to the caller only after the
# other instances have been notified, so that the caller cannot resend the
# request to an instance that does not know of the crash yet.
_DELAYED_KINDS = frozenset({"closed", "short"})

_FAILURE_TEXTS = {
    "refused": "accepts no connections",
    "closed": "closed the connection without a response",
    "short": "closed the connection before the end of its response",
    "mangled": "sent an invalid response",
    "endless": "sent a response that is too large or does not end",
    "crossed": "sent the response to another request",
    "unstated": "refused the request without stating that it did not run",
    "stalled": "stalled and was ejected",
}


class AgentContext(Protocol):
    """Interface of the agent to the requests that it runs."""

    slots: queue.Queue
    watcher: observer.Observer
    connector: targets.Connector
    clock: Any
    idle: idle.IdleConnections
    accepting: bool
    tracer: tracing.Tracer
    metrics: metrics.Metrics
    running: "set[Run]"
    wire_dialect: dialect.Dialect
    stopping: shutdown.Shutdown
    counts: collections.Counter[str]

    def serving_target(self, id: str) -> targets.LocalTarget:
        """Returns a local target that accepts requests.

        Raises:
            RequestError: There is no such target, or it is leaving.
        """

    def check_evacuation(self, id: str) -> None:
        """Checks that the data centre of a local target is not evacuated.

        Raises:
            TargetLeavingError: It is evacuated, or may be.
        """


_NO_HEAD = model.ResponseHead(0, ())
_EXCHANGE_IDS = itertools.count(random.SystemRandom().getrandbits(62))


class _State(enum.Enum):
    QUEUED = "queued"
    GRANTED = "granted"
    CONNECTING = "connecting"
    RUNNING = "running"
    DONE = "done"


class Run:
    """One request at a target.

    Implements `exchange.RequestSink` towards the entry and
    `connection.Exchange` towards the target.

    Args:
        agent: Agent that runs the request.
        request: The request.
        response: Receives the response.
    """

    def __init__(
        self,
        agent: AgentContext,
        request: exchange.OpenRequest,
        response: exchange.ResponseSink,
    ):
        now = agent.clock.seconds()
        self._agent = agent
        self._request = request
        self._response = response
        self._state = _State.QUEUED
        self._opened_at = now
        self._deadline = now + request.timeout
        self._entry: queue.Entry | None = None
        self._trace = run_trace.RunTrace(agent.tracer, agent.metrics, request)
        self._timer: Any = None
        self._go_timer: Any = None
        self._connection: connection.TargetConnection | None = None
        self._pending: list[bytes] = []
        self._body_ended = False
        self._token: object = None
        self._handed_over_at = 0.0
        self._head_forwarded = False
        self._head = _NO_HEAD
        self._buffered_body: list[bytes] = []
        self._refusal: model.ResponseHead | None = None
        self._refusal_bytes_left = verify.MAX_BUFFERED_BYTES
        self._completed: observer.Outcome = observer.Completed(0, 0.0)
        self._check = verify.ResponseCheck(
            self._exchange_id(), request.head.method, agent.wire_dialect
        )

    def _exchange_id(self) -> bytes:
        wire_dialect = self._agent.wire_dialect
        if wire_dialect.caller_exchange_id:
            fields = self._request.head.headers
            return headers.value_of(fields, wire_dialect.exchange_id_name)
        return b"%016x" % next(_EXCHANGE_IDS)

    def start(self) -> None:
        """Requests a slot."""
        try:
            serving_target = self._agent.serving_target(self._request.target)
        except errors.RequestError as error:
            self.refuse(error)
            return
        request = self._request
        self._entry = queue.Entry(
            request.target,
            serving_target.target.slots,
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
        self._agent.slots.submit(self._entry, self._slot_granted, self.refuse)

    # Request body, from the entry.

    def body(self, data: bytes) -> None:
        """Forwards a part of the request body."""
        if self._state is _State.RUNNING and self._connection is not None:
            self._connection.send_body(data)
        elif self._state is not _State.DONE:
            self._pending.append(data)

    def end(self) -> None:
        """Forwards the end of the request body."""
        self._body_ended = True
        if self._state is _State.RUNNING and self._connection is not None:
            self._connection.send_end()
            self._start_observation()

    def cancel(self) -> None:
        """Cancels the request and closes the connection to the target."""
        self._agent.running.discard(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._close(observer.Cancelled())

    def consumed(self, count: int) -> None:
        """Lets the target send further response bytes."""
        if self._state is _State.RUNNING and self._connection is not None:
            self._connection.source.consumed(count)

    # Slot and connection.

    def go(self) -> None:
        """Runs a request that has a slot and waits for confirmation."""
        if self._state is _State.GRANTED:
            if self._go_timer is not None and self._go_timer.active():
                self._go_timer.cancel()
            self._state = _State.QUEUED
            self._connect()

    def _request_go(self) -> None:
        self._state = _State.GRANTED
        self._go_timer = self._agent.clock.callLater(
            GO_TIMEOUT_SECONDS, self._go_timed_out
        )
        self._response.granted()

    def _go_timed_out(self) -> None:
        self.refuse(
            errors.LinkLostError(
                "The entry did not confirm the request in time; retry."
            )
        )

    def _slot_granted(self) -> None:
        if self._request.confirm:
            self._request_go()
        else:
            self._connect()

    def _connect(self) -> None:
        if self._state is not _State.QUEUED:
            return
        if self._deadline_passed():
            # The slot became free exactly at the deadline.
            self._expire()
            return
        if not self.can_finish_in_time():
            self.refuse_waiting()
            return
        try:
            serving_target = self._agent.serving_target(self._request.target)
        except errors.RequestError as error:
            self.refuse(error)
            return
        self._state = _State.CONNECTING
        self._trace.granted()
        if self._request.repeatable:
            # If a reused connection turns out to be stale, it is unknown
            # whether the request ran, so only repeatable requests use one.
            target_connection = self._agent.idle.take(self._request.target)
            if target_connection is not None:
                target_connection.run(self)
                return
        made = connection.TargetConnection(
            self._request.target, self._agent.idle, self
        )
        failed = self._agent.connector.connect(serving_target, made)
        failed.addErrback(lambda _: self.target_failed("refused"))

    def connected(self, connection: connection.TargetConnection) -> None:
        """Sends the request to the target."""
        if self._state is not _State.CONNECTING:
            connection.abort()
            return
        if self._deadline_passed():
            connection.abort()
            self._expire()
            return
        try:
            # An evacuation may have begun while the connection was opened.
            self._agent.check_evacuation(self._request.target)
        except errors.TargetLeavingError as error:
            connection.abort()
            self.refuse(error)
            return
        self._connection = connection
        self._state = _State.RUNNING
        connection.send_head(self._request_head())
        pending, self._pending = self._pending, []
        for data in pending:
            connection.send_body(data)
        if self._body_ended:
            connection.send_end()
            self._start_observation()

    def _start_observation(self) -> None:
        """Reports to the observer that the target has the whole request."""
        if self._token is None:
            self._handed_over_at = self._agent.clock.seconds()
            self._token = self._agent.watcher.started(
                self._handed_over_at, self._request.target, self._request
            )

    def _request_head(self) -> model.RequestHead:
        wire_dialect = self._agent.wire_dialect
        head = self._request.head
        remaining = self._deadline - self._agent.clock.seconds()
        millis = max(0, int(remaining * 1000))
        kept = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in wire_dialect.removed_at_agent
        ]
        if not headers.value_of(kept, b"host"):
            kept.insert(0, (b"Host", self._request.service.encode()))
        kept.append((wire_dialect.deadline, b"%d" % millis))
        trace = self._trace.handed_over(self._check.exchange_id)
        if wire_dialect.traced:
            kept.append((b"Traceparent", trace.encode()))
        if not wire_dialect.caller_exchange_id:
            kept.append((wire_dialect.exchange_id, self._check.exchange_id))
        if self._request.account:
            kept.append((wire_dialect.account, self._request.account.encode()))
        if wire_dialect.expected_target:
            kept.append(
                (wire_dialect.expected_target, self._request.target.encode())
            )
        return model.RequestHead(head.method, head.path, tuple(kept))

    # Response, from the target.

    def response_head(self, head: model.ResponseHead) -> None:
        """Checks and forwards the response head."""
        target_connection = self._connection
        identified = (
            target_connection is not None and target_connection.echoes_id
        )
        checked = self._check.head(head, identified)
        if checked is None:
            self.target_failed("crossed")
            return
        if self._check.not_run(head):
            # The refusal is accepted only at its end: further bytes would
            # show that the request may have run.
            self._trace.head_received(head.status)
            self._refusal = head
            return
        if self._check.unstated(head):
            self.target_failed("unstated")
            return
        if not self._check.genuine(head):
            self.target_failed("mangled")
            return
        self._trace.head_received(head.status)
        self._start_observation()
        now = self._agent.clock.seconds()
        self._completed = self._outcome(head.status, now)
        self._head = checked
        if not self._check.buffered:
            self._forward_head(now)

    def _outcome(self, status: int, now: float) -> observer.Outcome:
        """Returns the outcome of an exchange with this response head."""
        seconds = now - self._handed_over_at
        if (
            status == http.HTTPStatus.GATEWAY_TIMEOUT
            and now >= self._deadline - DEADLINE_SLACK_SECONDS
        ):
            return observer.Stalled(seconds)
        return observer.Completed(status, seconds)

    def _shed(self, head: model.ResponseHead) -> None:
        """Ends an exchange whose request the target refused to run."""
        self._close(observer.Shed(head.status), errors.TargetShedError.code)
        self._response.fail(
            errors.TargetShedError(
                f"Target {self._request.target} refused the request with "
                f"{head.status}; retry.",
                retry_after=1.0,
            ),
            self._load(),
        )

    def _forward_head(self, now: float) -> None:
        self._head_forwarded = True
        # The time of the rest depends on how fast the caller reads, so the
        # observer does not judge it.
        self._agent.watcher.answered(now, self._token, self._head.status)
        load = attrs.evolve(self._load(), ending=True)
        self._response.head(self._head, load)

    def response_body(self, data: bytes) -> None:
        """Forwards a part of the response body."""
        if self._refusal is not None:
            self._refusal_bytes_left -= len(data)
            if self._refusal_bytes_left < 0:
                self.target_failed("endless")
            return
        self._check.body(data)
        if self._head_forwarded:
            self._response.body(data)
        else:
            self._buffered_body.append(data)

    def response_end(self, reusable: bool, mangled: bool) -> None:
        """Forwards the end of the response and frees the slot."""
        if self._state is not _State.RUNNING:
            return
        if self._refusal is not None:
            self._end_refusal(self._refusal, mangled)
            return
        if not self._check.intact():
            self.target_failed("mangled")
            return
        if not self._head_forwarded:
            self._forward_head(self._agent.clock.seconds())
            self._response.body(b"".join(self._buffered_body))
        outcome = self._completed
        if mangled:
            self._trace.target_failed("mangled")
            outcome = observer.Failed("mangled")
        self._keep_connection(reusable)
        self._close(outcome, run_trace.OK)
        self._response.end()

    def _keep_connection(self, reusable: bool) -> None:
        """Returns a reusable connection to the idle pool, or closes it."""
        target_connection, self._connection = self._connection, None
        if target_connection is None or not reusable:
            return
        if not self._agent.accepting or not self._check.reusable():
            target_connection.abort()
            return
        target_connection.echoes_id = (
            target_connection.echoes_id or self._check.id_echoed
        )
        limit = self._entry.slots if self._entry is not None else 0
        self._agent.idle.put(target_connection, limit)

    def _end_refusal(self, head: model.ResponseHead, mangled: bool) -> None:
        """Accepts a refusal unless the target has sent further bytes."""
        target_connection = self._connection
        if mangled or (
            target_connection is not None and target_connection.peek()
        ):
            self.target_failed("mangled")
        else:
            self._shed(head)

    def target_failed(self, kind: str) -> None:
        """Ends the exchange because of a failure of the target."""
        if self._state is _State.DONE:
            return
        executed = errors.Executed.UNKNOWN
        if self._state is not _State.RUNNING:
            executed = errors.Executed.NO
        self._start_observation()
        self._trace.target_failed(kind)
        self._close(observer.Failed(kind), errors.TargetFailedError.code)
        error = errors.TargetFailedError(
            f"Target {self._request.target} {_FAILURE_TEXTS[kind]}.",
            executed=executed,
        )
        if kind not in _DELAYED_KINDS:
            self._report_failure(error)
            return
        # A planned stop waits until the failure is reported.
        self._agent.running.add(self)
        self._timer = self._agent.clock.callLater(
            suspects.CRASH_HOLD_SECONDS, self._report_failure, error
        )

    def _report_failure(self, error: errors.RequestError) -> None:
        self._agent.running.discard(self)
        self._response.fail(error, self._load())

    def abandon(self) -> None:
        """Fails a repeatable request that is stalled at an ejected target."""
        running = self._state is _State.RUNNING and not self._head_forwarded
        if running and self._request.repeatable:
            self.target_failed("stalled")

    @property
    def target(self) -> str:
        """Id of the target."""
        return self._request.target

    def body_consumed(self, count: int) -> None:
        """Opens the flow-control window for further request bytes."""
        self._response.consumed(count)

    # End of the exchange.

    def _expire(self) -> None:
        if self._state is _State.DONE:
            return
        handed_over = self._state is _State.RUNNING
        seconds = self._agent.clock.seconds() - self._handed_over_at
        executed = errors.Executed.NO
        if handed_over:
            executed = errors.Executed.UNKNOWN
        code = errors.DeadlineExceededError.code
        outcome: observer.Outcome = observer.Stalled(seconds)
        if self._response_is_endless():
            self._trace.target_failed("endless")
            outcome = observer.Failed("endless")
        self._close(outcome, code)
        self._response.fail(
            errors.DeadlineExceededError(
                "The time limit of the route has passed.", executed=executed
            ),
            self._load(),
        )

    def _response_is_endless(self) -> bool:
        """Returns whether the target has begun a response without ending it.

        A response that is paused because its caller reads slowly does not
        count.
        """
        target_connection = self._connection
        return (
            self._head_forwarded
            and target_connection is not None
            and not target_connection.source.paused
        )

    def _deadline_passed(self) -> bool:
        return self._agent.clock.seconds() >= self._deadline

    def refuse(self, error: errors.RequestError) -> None:
        """Ends an exchange whose request was not sent to the target."""
        if self._state is not _State.DONE:
            self._close(observer.Cancelled(), error.code)
            self._response.fail(error, self._load())

    def can_finish_in_time(self) -> bool:
        """Returns whether the request can finish before a planned stop."""
        return self._agent.stopping.admits(
            self._agent.clock.seconds(),
            self._opened_at,
            self._deadline,
            self._request.objective,
        )

    def refuse_waiting(self) -> None:
        """Refuses a request for a planned stop if it was not sent yet."""
        if self._state not in (_State.RUNNING, _State.DONE):
            self._agent.counts["stop_refused_at_agent"] += 1
            self.refuse(shutdown.refusal())

    def _report_outcome(self, outcome: observer.Outcome) -> None:
        """Reports the outcome if `_start_observation` was called."""
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
        for timer in (self._timer, self._go_timer):
            if timer is not None and timer.active():
                timer.cancel()
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
        self._pending.clear()
        self._report_outcome(outcome)
        self._agent.running.discard(self)
        if self._entry is not None:
            self._agent.slots.remove(self._entry)

    def _load(self) -> exchange.Load:
        return self._agent.slots.load(self._request.target)
