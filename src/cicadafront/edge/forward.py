"""The entry: takes requests from callers to targets."""

import enum
from collections.abc import Callable
from typing import Any

import eliot
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, model, ports, shutdown
from cicadafront.edge import (
    attempts,
    caller,
    held,
    order,
    parts,
    request_trace,
)
from cicadafront.peer import exchange

# Time that the agent's own answer to a passed deadline may take. The agent
# knows whether the request had been handed over; the entry does not.
DEADLINE_GRACE_SECONDS = 0.25


class Forwarder:
    """Starts exchanges; a `caller.Handler`.

    Attributes:
        running: Exchanges that have not ended, those without caller included.
    """

    def __init__(self, site: parts.Parts):
        self._site = site
        self.running: set[Exchange] = set()

    def begin(
        self, head: model.RequestHead, token: str, caller: caller.Caller
    ) -> exchange.RequestSink:
        """Starts an exchange."""
        started = Exchange(self._site, caller, self.running.discard)
        self.running.add(started)
        started.start(head, token)
        return started

    def check_keys(self) -> None:
        """Ends the exchanges whose key or client account is gone."""
        for exchange_ in list(self.running):
            exchange_.check_key()

    def refuse_waiting(self) -> None:
        """Refuses what no target has and what cannot end before a stop."""
        for exchange_ in list(self.running):
            exchange_.refuse_waiting()


class _Phase(enum.Enum):
    ADMITTING = "admitting"
    HOLDING = "holding"
    BEGINNING = "beginning"
    RUNNING = "running"
    DONE = "done"


class Exchange:
    """One request, from its head to the end of its answer."""

    _order: order.Order
    _trace: request_trace.RequestTrace

    def __init__(
        self,
        site: parts.Parts,
        answer: caller.Caller,
        on_done: Callable[["Exchange"], None],
    ):
        self._site = site
        self._caller: caller.Caller = answer
        self._on_done = on_done
        self._phase = _Phase.ADMITTING
        self._body = held.HeldBody()
        self._deadline = 0.0
        # Time at which what has arrived of the request was read.
        self._read = 0.0
        self._timer: Any = None
        self._attempts: attempts.Attempts | None = None
        self._ticket: ports.Ticket | None = None
        self._copy: held.AnswerCopy | None = None
        self._unread = 0
        self._token = ""

    # Before the first attempt.

    def start(self, head: model.RequestHead, token: str) -> None:
        """Resolves route and account and asks for admission."""
        self._trace = trace = request_trace.RequestTrace(self._site, head)
        head = trace.request_head(head)
        try:
            self._order = order.resolve(self._site, head, token)
        except errors.RequestError as error:
            self._conclude(error)
            return
        trace.routed(self._order)
        self._token = token
        timeout = self._order.timeout
        self._read = self._site.clock.seconds()
        self._deadline = self._read + timeout
        if not self.fits():
            self._refuse_for_stop("stop_refused_late")
            return
        self._timer = self._site.clock.callLater(timeout, self._expire)
        if self._order.account is None:
            self._admitted(None)
            return
        admitted = self._site.admission.admit(self._order.account)
        admitted.addCallback(self._admitted)
        admitted.addErrback(self._refused)

    def _admitted(self, _: object) -> None:
        if self._phase is _Phase.ADMITTING:
            self._phase = _Phase.HOLDING
            self._caller.wants_body()
            self._hold()

    def _hold(self) -> None:
        """Goes on once enough of the body is here to recognise the request."""
        wanted = self._order
        needed = held.HELD_BYTES if wanted.key else held.FINGERPRINT_BYTES
        if not self._body.complete and self._body.size < needed:
            return
        start = self._body.start(held.HELD_BYTES)
        account = wanted.account_id
        fingerprint = held.digest(
            account, wanted.head, start[: held.FINGERPRINT_BYTES]
        )
        self._attempts = attempts.Attempts(
            self._site,
            wanted,
            self._body,
            self._deadline,
            fingerprint,
            self,
            self._trace.context,
        )
        try:
            self._site.suspects.check(account, fingerprint)
        except errors.RequestError as error:
            self._conclude(error)
            return
        if wanted.key:
            self._phase = _Phase.BEGINNING
            self._begin(account, held.digest("", wanted.head, start))
        else:
            self._run()

    def _begin(self, account: str, digest: bytes) -> None:
        remaining = max(0.0, self._deadline - self._site.clock.seconds())
        begun = self._site.records.begin(
            account, self._order.key, digest, remaining
        )
        begun.addCallback(self._begun)
        begun.addErrback(self._refused)

    def _begun(self, result: ports.Start | ports.Replay) -> None:
        if self._phase is not _Phase.BEGINNING:
            if isinstance(result, ports.Start):
                self._site.records.release(result.ticket)
            return
        match result:
            case ports.Start(ticket):
                self._ticket = ticket
                self._run()
            case ports.Replay(outcome):
                self._replay(outcome)

    def _replay(self, outcome: ports.Outcome) -> None:
        if outcome.body is None:
            self._conclude(_not_kept(outcome))
            return
        self._trace.headed(outcome.head.status)
        self._caller.head(outcome.head, exchange.Load())
        if outcome.body:
            self._caller.body(outcome.body)
        self._trace.ended()
        self._finish()
        self._caller.end()

    def _refused(self, reason: failure.Failure) -> None:
        if self._phase is not _Phase.DONE:
            self._conclude(_as_request_error(reason))

    def refuse_waiting(self) -> None:
        """Refuses a request that still waits, unless it can end in time."""
        if self._phase is _Phase.DONE or self._handed_over():
            return
        if self._phase is _Phase.HOLDING:
            # More of its body has to arrive, at the present time or later.
            self._read = self._site.clock.seconds()
        if not self.fits():
            self._refuse_for_stop("stop_refused_waiting")

    def _refuse_for_stop(self, counted: str) -> None:
        self._site.counts[counted] += 1
        self._conclude(shutdown.refusal())

    def _run(self) -> None:
        if not self.fits():
            self._refuse_for_stop("stop_refused_waiting")
            return
        self._phase = _Phase.RUNNING
        if self._attempts is not None:
            self._attempts.start()

    # From the attempts.

    def answer_head(
        self, head: model.ResponseHead, load: exchange.Load
    ) -> None:
        """Passes on the head of the answer."""
        if self._ticket is not None:
            self._copy = held.AnswerCopy(head)
        self._trace.headed(head.status)
        self._caller.head(head, load)

    def answer_body(self, data: bytes) -> None:
        """Passes on a piece of the answer."""
        if self._copy is not None:
            self._copy.add(data)
        self._unread += len(data)
        self._caller.body(data)

    def answer_end(self) -> None:
        """Records the outcome and completes the answer."""
        if self._ticket is not None and self._copy is not None:
            self._site.records.finish(self._ticket, self._copy.outcome())
            self._ticket = None
        self._trace.ended()
        self._finish()
        self._caller.end()

    def answer_failed(self, error: errors.RequestError) -> None:
        """Answers with the error."""
        self._conclude(error)

    def body_consumed(self, count: int) -> None:
        """Lets the caller send more of the body."""
        self._caller.consumed(count)

    def fits(self) -> bool:
        """Whether an attempt that begins now can end before a stop does."""
        return self._site.stopping.admits(
            self._site.clock.seconds(),
            self._read,
            self._deadline,
            self._order.route.objective,
        )

    def attempt_said(self, target: str, what: str) -> None:
        """Notes what became of one attempt."""
        self._trace.said(target, what)

    # From the caller.

    def body(self, data: bytes) -> None:
        """Takes a piece of the request body."""
        if self._phase is _Phase.DONE:
            return
        self._arrived()
        self._body.add(data)
        if self._phase is _Phase.HOLDING:
            self._hold()
        elif self._phase is _Phase.RUNNING and self._attempts is not None:
            self._attempts.body(data)

    def end(self) -> None:
        """Takes the end of the request body."""
        if self._phase is _Phase.DONE:
            return
        self._arrived()
        self._body.complete = True
        if self._phase is _Phase.HOLDING:
            self._hold()
        elif self._phase is _Phase.RUNNING and self._attempts is not None:
            self._attempts.end()

    def _arrived(self) -> None:
        if self._phase in (_Phase.ADMITTING, _Phase.HOLDING):
            self._read = self._site.clock.seconds()

    def go(self) -> None:
        """Does nothing: callers confirm nothing."""

    def consumed(self, count: int) -> None:
        """Lets the target send more of the answer."""
        self._unread -= count
        if self._attempts is not None:
            self._attempts.consumed(count)

    def cancel(self) -> None:
        """Gives up for a caller that went away.

        A request with an idempotency record that a target may be running is
        completed instead, so that the caller finds its outcome when it sends
        the request again.
        """
        if self._phase is _Phase.DONE:
            return
        if self._goes_on():
            self._leave_caller()
            return
        standing = self._attempts.standing if self._attempts else []
        self._trace.given_up(self._phase.value, standing)
        self._settle(errors.Executed.NO)
        self._finish()

    def _goes_on(self) -> bool:
        """Whether the request is completed without its caller."""
        return self._ticket is not None and self._body.complete

    def _handed_over(self) -> bool:
        return self._attempts is not None and self._attempts.handed_over

    def _leave_caller(self) -> None:
        self._caller = _Absent(self)
        self.consumed(self._unread)

    # Ends.

    def check_key(self) -> None:
        """Refuses the caller if its key or client account is gone.

        A request with an idempotency record that a target may be running is
        completed, so that its outcome is known to a valid key.
        """
        if self._phase is _Phase.DONE or self._order.account is None:
            return
        if order.still_valid(self._site, self._order, self._token):
            return
        if self._site.asking.finish_withdrawn and self._handed_over():
            return
        self._site.counts["exchanges_withdrawn"] += 1
        error = errors.KeyUnknownError("The key was withdrawn meanwhile.")
        if self._goes_on():
            answer = self._caller
            self._leave_caller()
            error.executed = errors.Executed.UNKNOWN
            answer.fail(error, exchange.Load())
        else:
            self._conclude(error)

    def _expire(self) -> None:
        if self._attempts is None or not self._attempts.running:
            self._fail_late()
            return
        self._timer = self._site.clock.callLater(
            DEADLINE_GRACE_SECONDS, self._fail_late
        )

    def _fail_late(self) -> None:
        text = "The time limit of the route has passed."
        self._conclude(errors.DeadlineExceededError(text))

    def _conclude(self, error: errors.RequestError) -> None:
        executed = self._settle(error.executed)
        error = _final(error, executed, self._site.words.short_waits)
        self._trace.failed(error)
        self._finish()
        self._caller.fail(error, exchange.Load())

    def _settle(self, executed: errors.Executed) -> errors.Executed:
        """Stops the attempts and gives the ticket back.

        Returns:
            Whether the request may have run in any attempt.
        """
        if self._attempts is not None:
            self._attempts.cancel()
            if self._attempts.maybe_ran:
                executed = errors.Executed.UNKNOWN
        ticket, self._ticket = self._ticket, None
        if ticket is not None and executed is errors.Executed.NO:
            self._site.records.release(ticket)
        elif ticket is not None:
            self._site.records.abandon(ticket)
        return executed

    def _finish(self) -> None:
        self._phase = _Phase.DONE
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._trace.finish()
        self._on_done(self)


class _Absent:
    """Takes the answer in place of a caller that went away."""

    def __init__(self, owner: Exchange):
        self._owner = owner

    def wants_body(self) -> None:
        pass

    def granted(self) -> None:
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


def _not_kept(outcome: ports.Outcome) -> errors.RequestError:
    return errors.OutcomeUnknownError(
        f"The request ran before, with status {outcome.head.status}, but its "
        "answer was too large to keep; read the result from the service.",
        executed=errors.Executed.UNKNOWN,
        code="outcome_not_kept",
    )


def _final(
    error: errors.RequestError, executed: errors.Executed, honest: bool
) -> errors.RequestError:
    """Returns the error with what is known of the request.

    Args:
        error: The error of the last attempt.
        executed: Whether the request may have run in any attempt.
        honest: Whether the status alone tells if the request ran.
    """
    status = error.status
    if honest and executed is errors.Executed.NO and status >= 500:
        status = 503
    elif (
        honest and executed is errors.Executed.UNKNOWN and status in (429, 503)
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
            message="edge: a part failed while a request was prepared.",
            reason=reason.getTraceback(),
        )
    return errors.RequestError(
        "A part of this instance failed; try again.",
        retry_after=1.0,
        code=code,
        status=503,
    )
