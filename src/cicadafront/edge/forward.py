"""Forwarding of requests from callers to targets."""

import enum
import http
from collections.abc import Callable
from typing import Any

import eliot
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, model, ports, shutdown
from cicadafront.edge import (
    attempts,
    buffers,
    caller,
    dependencies,
    request_trace,
    resolved_request,
)
from cicadafront.health import downstream
from cicadafront.peer import exchange

# Seconds after the deadline in which the agent may still report its outcome.
# Only the agent knows whether the request had been handed to the target.
DEADLINE_GRACE_SECONDS = 0.25


class Forwarder:
    """Starts exchanges; implements `caller.Handler`.

    Attributes:
        running: Exchanges that have not ended, including those whose caller
            has disconnected.
    """

    def __init__(self, deps: dependencies.Dependencies):
        self._deps = deps
        self.running: set[Exchange] = set()

    def begin(
        self, head: model.RequestHead, token: str, caller: caller.Caller
    ) -> exchange.RequestSink:
        """Starts an exchange; see `caller.Handler.begin`."""
        started = Exchange(self._deps, caller, self.running.discard)
        self.running.add(started)
        try:
            started.start(head, token)
        except Exception:
            # The server answers. A planned stop must not wait for the exchange.
            started.abandon()
            raise
        return started

    def check_keys(self) -> None:
        """Ends the exchanges whose key or client account is no longer valid."""
        for exchange_ in list(self.running):
            exchange_.check_key()

    def check_eligibility(self) -> None:
        """Reroutes the requests that wait at targets that became ineligible."""
        for exchange_ in list(self.running):
            exchange_.check_eligibility()

    def refuse_waiting(self) -> None:
        """Refuses requests that wait and cannot end before a planned stop."""
        for exchange_ in list(self.running):
            exchange_.refuse_waiting()


class _Phase(enum.Enum):
    ADMITTING = "admitting"
    BUFFERING_BODY = "holding"
    BEGINNING_RECORD = "beginning"
    RUNNING = "running"
    DONE = "done"


class Exchange:
    """One request, from its head to the end of its response."""

    _resolved: resolved_request.ResolvedRequest
    _trace: request_trace.RequestTrace

    def __init__(
        self,
        deps: dependencies.Dependencies,
        caller_: caller.Caller,
        on_done: Callable[["Exchange"], None],
    ):
        self._deps = deps
        self._caller: caller.Caller = caller_
        self._on_done = on_done
        self._phase = _Phase.ADMITTING
        self._body = buffers.RequestBodyBuffer()
        self._deadline = 0.0
        # Time at which the latest part of the request was read.
        self._last_read_at = 0.0
        self._timer: Any = None
        self._attempts: attempts.Attempts | None = None
        self._ticket: ports.Ticket | None = None
        self._recorder: buffers.ResponseRecorder | None = None
        self._unconsumed = 0
        self._token = ""
        self._downstream: downstream.DownstreamRequest | None = None
        self._served = False

    # Before the first attempt.

    def start(self, head: model.RequestHead, token: str) -> None:
        """Resolves route and account, then waits for the rate limiter."""
        self._trace = trace = request_trace.RequestTrace(self._deps, head)
        head = trace.request_head(head)
        try:
            self._resolved = resolved_request.resolve(self._deps, head, token)
        except errors.RequestError as error:
            self._fail(error)
            return
        trace.record_route(self._resolved)
        self._track_downstream()
        self._token = token
        timeout = self._resolved.timeout
        self._last_read_at = self._deps.clock.seconds()
        self._deadline = self._last_read_at + timeout
        if not self.can_finish_in_time():
            self._refuse_during_stop("stop_refused_late")
            return
        self._timer = self._deps.clock.callLater(timeout, self._expire)
        if self._resolved.account is None:
            self._admitted(None)
            return
        admitted = self._deps.admission.admit(self._resolved.account)
        admitted.addCallback(self._admitted)
        admitted.addErrback(self._preparation_failed)

    def abandon(self) -> None:
        """Ends an exchange that could not start, without an answer."""
        self._phase = _Phase.DONE
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._on_done(self)

    def _track_downstream(self) -> None:
        """Tracks a request that the local target may have sent.

        Targets send their requests without a key.
        """
        if self._resolved.account is None:
            self._downstream = self._deps.downstream.begin(
                self._deps.clock.seconds(), self._resolved.route.objective
            )

    def _admitted(self, _: object) -> None:
        if self._phase is _Phase.ADMITTING:
            self._phase = _Phase.BUFFERING_BODY
            self._caller.send_continue()
            self._buffer_body()

    def _buffer_body(self) -> None:
        """Continues once the body suffices for the digests of the request."""
        resolved = self._resolved
        needed = (
            buffers.MAX_BUFFERED_BYTES
            if resolved.key
            else buffers.FINGERPRINT_BYTES
        )
        if not self._body.complete and self._body.size < needed:
            return
        start = self._body.start(buffers.MAX_BUFFERED_BYTES)
        account = resolved.account_id
        fingerprint = buffers.digest(
            account, resolved.head, start[: buffers.FINGERPRINT_BYTES]
        )
        self._attempts = attempts.Attempts(
            self._deps,
            resolved,
            self._body,
            self._deadline,
            fingerprint,
            self,
            self._trace.context,
        )
        try:
            self._deps.suspects.check(account, fingerprint)
        except errors.RequestError as error:
            self._fail(error)
            return
        if resolved.key:
            self._phase = _Phase.BEGINNING_RECORD
            self._begin_record(
                account, buffers.digest("", resolved.head, start)
            )
        else:
            self._run()

    def _begin_record(self, account: str, digest: bytes) -> None:
        remaining = max(0.0, self._deadline - self._deps.clock.seconds())
        begun = self._deps.records.begin(
            account, self._resolved.key, digest, remaining
        )
        begun.addCallback(self._record_begun)
        begun.addErrback(self._preparation_failed)

    def _record_begun(self, result: ports.Start | ports.Replay) -> None:
        if self._phase is not _Phase.BEGINNING_RECORD:
            if isinstance(result, ports.Start):
                self._deps.records.release(result.ticket)
            return
        match result:
            case ports.Start(ticket):
                self._ticket = ticket
                self._run()
            case ports.Replay(outcome):
                self._replay(outcome)

    def _replay(self, outcome: ports.Outcome) -> None:
        if outcome.body is None:
            self._fail(_response_not_kept(outcome))
            return
        self._trace.record_head(outcome.head.status)
        self._caller.head(outcome.head, exchange.Load())
        if outcome.body:
            self._caller.body(outcome.body)
        self._trace.record_completion()
        self._finish()
        self._caller.end()

    def _preparation_failed(self, reason: failure.Failure) -> None:
        if self._phase is not _Phase.DONE:
            self._fail(_as_request_error(reason))

    def refuse_waiting(self) -> None:
        """Refuses a request that no target has and that cannot end in time."""
        if self._phase is _Phase.DONE or self._handed_over():
            return
        if self._phase is _Phase.BUFFERING_BODY:
            # The rest of the body arrives now at the earliest.
            self._last_read_at = self._deps.clock.seconds()
        if not self.can_finish_in_time():
            self._refuse_during_stop("stop_refused_waiting")

    def check_eligibility(self) -> None:
        """Reroutes attempts that wait at a target that became ineligible."""
        if self._phase is _Phase.RUNNING and self._attempts is not None:
            self._attempts.check_eligibility()

    def _refuse_during_stop(self, counter: str) -> None:
        self._deps.counts[counter] += 1
        self._fail(shutdown.refusal())

    def _run(self) -> None:
        if not self.can_finish_in_time():
            self._refuse_during_stop("stop_refused_waiting")
            return
        self._phase = _Phase.RUNNING
        if self._attempts is not None:
            self._attempts.start()

    # Events of the attempts.

    def response_head(
        self, head: model.ResponseHead, load: exchange.Load
    ) -> None:
        """Forwards the response head."""
        if self._ticket is not None:
            self._recorder = buffers.ResponseRecorder(head)
        self._trace.record_head(head.status)
        self._served = head.status < http.HTTPStatus.BAD_REQUEST
        self._caller.head(head, load)

    def response_body(self, data: bytes) -> None:
        """Forwards a chunk of the response body."""
        if self._recorder is not None:
            self._recorder.add(data)
        self._unconsumed += len(data)
        self._caller.body(data)

    def response_end(self) -> None:
        """Stores the outcome and completes the response."""
        if self._ticket is not None and self._recorder is not None:
            self._deps.records.finish(self._ticket, self._recorder.outcome())
            self._ticket = None
        self._trace.record_completion()
        self._finish()
        self._caller.end()

    def request_failed(self, error: errors.RequestError) -> None:
        """Sends the error to the caller."""
        self._fail(error)

    def request_body_consumed(self, count: int) -> None:
        """Lets the caller send more of the request body."""
        self._caller.consumed(count)

    def can_finish_in_time(self) -> bool:
        """Whether an attempt started now can end before a planned stop."""
        return self._deps.stopping.admits(
            self._deps.clock.seconds(),
            self._last_read_at,
            self._deadline,
            self._resolved.route.objective,
        )

    def record_attempt(self, target: str, outcome: str) -> None:
        """Records the outcome of one attempt."""
        self._trace.record_attempt(target, outcome)

    # Events of the caller.

    def body(self, data: bytes) -> None:
        """Handles a chunk of the request body."""
        if self._phase is _Phase.DONE:
            return
        self._note_arrival()
        self._body.add(data)
        if self._phase is _Phase.BUFFERING_BODY:
            self._buffer_body()
        elif self._phase is _Phase.RUNNING and self._attempts is not None:
            self._attempts.body(data)

    def end(self) -> None:
        """Handles the end of the request body."""
        if self._phase is _Phase.DONE:
            return
        self._note_arrival()
        self._body.complete = True
        if self._phase is _Phase.BUFFERING_BODY:
            self._buffer_body()
        elif self._phase is _Phase.RUNNING and self._attempts is not None:
            self._attempts.end()

    def _note_arrival(self) -> None:
        if self._phase in (_Phase.ADMITTING, _Phase.BUFFERING_BODY):
            self._last_read_at = self._deps.clock.seconds()

    def go(self) -> None:
        """Does nothing: callers do not confirm requests."""

    def consumed(self, count: int) -> None:
        """Lets the target send more of the response."""
        self._unconsumed -= count
        if self._attempts is not None:
            self._attempts.consumed(count)

    def cancel(self) -> None:
        """Cancels the request because the caller has disconnected.

        A request with an idempotency record that a target may be running is
        completed instead, so that the caller gets its outcome when it retries
        the request.
        """
        if self._phase is _Phase.DONE:
            return
        if self._completes_without_caller():
            self._detach_caller()
            return
        attempt_states = self._attempts.progress if self._attempts else []
        self._trace.record_cancellation(self._phase.value, attempt_states)
        self._stop_attempts(errors.Executed.NO)
        self._finish()

    def _completes_without_caller(self) -> bool:
        """Whether the request is completed although its caller is gone."""
        return self._ticket is not None and self._body.complete

    def _handed_over(self) -> bool:
        return self._attempts is not None and self._attempts.handed_over

    def _detach_caller(self) -> None:
        self._caller = _DetachedCaller(self)
        self.consumed(self._unconsumed)

    # End of the exchange.

    def check_key(self) -> None:
        """Refuses the caller if its key or client account is no longer valid.

        A request with an idempotency record that a target may be running is
        completed, so that a caller with a valid key can get its outcome.
        """
        if self._phase is _Phase.DONE or self._resolved.account is None:
            return
        if resolved_request.still_valid(
            self._deps, self._resolved, self._token
        ):
            return
        if (
            self._deps.dispatch.finish_with_withdrawn_key
            and self._handed_over()
        ):
            return
        self._deps.counts["exchanges_withdrawn"] += 1
        error = errors.KeyUnknownError(
            "The key was withdrawn while the request was in progress."
        )
        if self._completes_without_caller():
            former_caller = self._caller
            self._detach_caller()
            error.executed = errors.Executed.UNKNOWN
            former_caller.fail(error, exchange.Load())
        else:
            self._fail(error)

    def _expire(self) -> None:
        if self._attempts is None or not self._attempts.running:
            self._fail_deadline()
            return
        self._timer = self._deps.clock.callLater(
            DEADLINE_GRACE_SECONDS, self._fail_deadline
        )

    def _fail_deadline(self) -> None:
        text = "The time limit of the route has passed."
        self._fail(errors.DeadlineExceededError(text))

    def _fail(self, error: errors.RequestError) -> None:
        executed = self._stop_attempts(error.executed)
        error = _with_execution(
            error, executed, self._deps.wire_dialect.fractional_waits
        )
        self._trace.record_error(error)
        self._served = False
        self._finish()
        self._caller.fail(error, exchange.Load())

    def _stop_attempts(self, executed: errors.Executed) -> errors.Executed:
        """Cancels the attempts and ends the idempotency record.

        The record is released if the request has certainly not run, and
        abandoned otherwise.

        Returns:
            Whether the request may have run in any attempt.
        """
        if self._attempts is not None:
            self._attempts.cancel()
            if self._attempts.may_have_run:
                executed = errors.Executed.UNKNOWN
        ticket, self._ticket = self._ticket, None
        if ticket is not None and executed is errors.Executed.NO:
            self._deps.records.release(ticket)
        elif ticket is not None:
            self._deps.records.abandon(ticket)
        return executed

    def _finish(self) -> None:
        self._phase = _Phase.DONE
        if self._downstream is not None:
            now = self._deps.clock.seconds()
            self._deps.downstream.end(now, self._downstream, self._served)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._trace.finish()
        self._on_done(self)


class _DetachedCaller:
    """Discards the response for a caller that has disconnected."""

    def __init__(self, owner: Exchange):
        self._owner = owner

    def send_continue(self) -> None:
        pass

    def granted(self) -> None:
        pass

    def path_suspected(self) -> None:
        pass

    def head(self, head: model.ResponseHead, load: exchange.Load) -> None:
        pass

    def body(self, data: bytes) -> None:
        self._owner.consumed(len(data))

    def end(self) -> None:
        pass

    def fail(self, error: errors.RequestError, load: exchange.Load) -> None:
        pass

    def consumed(self, count: int) -> None:
        pass


def _response_not_kept(outcome: ports.Outcome) -> errors.RequestError:
    return errors.OutcomeUnknownError(
        f"The request ran before, with status {outcome.head.status}, but its "
        "response was too large to store; read the result from the service.",
        executed=errors.Executed.UNKNOWN,
        code="outcome_not_kept",
    )


def _with_execution(
    error: errors.RequestError, executed: errors.Executed, strict_status: bool
) -> errors.RequestError:
    """Returns the error with the execution state of the whole request.

    Args:
        error: The error of the last attempt.
        executed: Whether the request may have run in any attempt.
        strict_status: Whether the status alone must tell if the request may
            have run: 503 if it has not, and neither 429 nor 503 if it may
            have.
    """
    status = error.status
    if strict_status and executed is errors.Executed.NO and status >= 500:
        status = 503
    elif (
        strict_status
        and executed is errors.Executed.UNKNOWN
        and status in (429, 503)
    ):
        status = 502
    if executed is error.executed and status == error.status:
        return error
    return errors.RequestError(
        error.message,
        executed=executed,
        retry_after=error.retry_after,
        code=error.code,
        status=status,
    )


def _as_request_error(reason: failure.Failure) -> errors.RequestError:
    error = reason.value
    if isinstance(error, errors.RequestError):
        return error
    code = errors.CicadafrontError.code
    if isinstance(error, errors.CicadafrontError):
        code = error.code
    elif reason.check(defer.TimeoutError):
        code = "call_timeout"
    else:
        eliot.log_message(
            message_type="edge",
            message="edge: unexpected error while preparing a request",
            reason=reason.getTraceback(),
        )
    return errors.RequestError(
        "Internal error while preparing the request; try again.",
        retry_after=1.0,
        code=code,
        status=503,
    )
