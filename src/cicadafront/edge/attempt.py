"""One attempt to run a request at a target."""

from typing import Any, Protocol

from cicadafront import errors, model
from cicadafront.edge import dependencies
from cicadafront.peer import exchange
from cicadafront.telemetry import tracing

# An overtaken attempt may end by itself until this time after its start, so
# that its agent still sees a slow or stalled target: a stalled request counts
# again with each 250 ms, and at 0.35 s the three stalled requests that fill a
# target's slots never added up to a verdict.
LOSER_GRACE_SECONDS = 1.0


# An agent that may not queue a request answers within a few milliseconds.
GRANT_TIMEOUT_SECONDS = 0.15


class Parent(Protocol):
    """The exchange that an attempt belongs to."""

    def attempt_head(
        self, attempt: "Attempt", head: model.ResponseHead, load: exchange.Load
    ) -> None:
        """The head of the answer has arrived."""

    def attempt_body(self, data: bytes) -> None:
        """A piece of the answer has arrived."""

    def attempt_end(self) -> None:
        """The answer is complete."""

    def attempt_failed(
        self,
        attempt: "Attempt",
        error: errors.RequestError,
        load: exchange.Load,
    ) -> None:
        """The attempt failed."""

    def attempt_body_consumed(self, attempt: "Attempt", total: int) -> None:
        """The target took `total` bytes of the body so far."""

    def attempt_granted(self, attempt: "Attempt") -> None:
        """The agent may hand the request over and takes its body."""


class Attempt:
    """Takes the answer of one attempt and drops what comes after its end.

    Attributes:
        target: The chosen target.
        span: Span of the attempt.
        request: Takes the request body once the stream is open.
        done: Whether the attempt has ended.
        awaiting_grant: Whether the agent has not yet granted a slot, so that
            the request has certainly not run.
    """

    def __init__(
        self,
        parent: Parent,
        target: model.Target,
        deps: dependencies.Dependencies,
        span: tracing.Span,
    ):
        self.target = target
        self.span = span
        self.request: exchange.RequestSink | None = None
        self.done = False
        self.awaiting_grant = False
        self._parent = parent
        self._deps = deps
        self._started_at = deps.clock.seconds()
        self._timer: Any = None
        self._consumed = 0
        self._grant_timer: Any = None
        self._head_received = False

    @property
    def progress(self) -> str:
        """Target, and whether it may have the request, for the log."""
        place = "waits" if self.awaiting_grant else "may_run"
        if self._head_received:
            place = "answers"
        age = self._deps.clock.seconds() - self._started_at
        return f"{self.target.id} {place} {round(age * 1000)}ms"

    def attach(
        self, sink: exchange.RequestSink, request: exchange.OpenRequest
    ) -> None:
        """Takes the stream that the attempt runs on."""
        self.request = sink
        self.awaiting_grant = request.confirm
        if request.confirm and not request.insist and not self.done:
            clock = self._deps.clock
            self._grant_timer = clock.callLater(
                GRANT_TIMEOUT_SECONDS, self._grant_timed_out
            )

    def granted(self) -> None:
        """Lets the agent hand the request to its target."""
        if self.done or self.request is None or not self.awaiting_grant:
            return
        self.awaiting_grant = False
        self._cancel_grant_timer()
        self.request.go()
        self._parent.attempt_granted(self)

    def _grant_timed_out(self) -> None:
        """Gives up an agent that does not answer; it runs nothing."""
        if self.done or self.request is None:
            return
        self.request.cancel()
        self.fail(
            errors.LinkLostError(
                f"Instance {self.target.instance} does not answer; try again."
            ),
            exchange.Load(),
        )

    def _cancel_grant_timer(self) -> None:
        if self._grant_timer is not None and self._grant_timer.active():
            self._grant_timer.cancel()

    def cancel(self) -> None:
        """Gives the attempt up."""
        if not self.done:
            self._end(cancelled=True)
            if self.request is not None:
                self.request.cancel()

    def lose_race(self) -> None:
        """Drops the answer, because another attempt was faster."""
        if self.awaiting_grant:
            self.cancel()
            return
        self._parent = _LosingAttemptParent(self._deps)
        self.span.fields["overtaken"] = True
        age = self._deps.clock.seconds() - self._started_at
        self._timer = self._deps.clock.callLater(
            max(0.0, LOSER_GRACE_SECONDS - age), self.cancel
        )

    def _end(self, **fields: object) -> None:
        self.done = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._cancel_grant_timer()
        self._deps.tracer.finish(self.span, **fields)

    def head(self, head: model.ResponseHead, load: exchange.Load) -> None:
        """Takes the head of the answer."""
        if self._stale(repeated=self._head_received):
            return
        self._head_received = True
        self.span.fields["status"] = head.status
        self._parent.attempt_head(self, head, load)

    def body(self, data: bytes) -> None:
        """Takes a piece of the answer."""
        if not self._stale():
            self._parent.attempt_body(data)

    def end(self) -> None:
        """Takes the end of the answer."""
        if not self._stale():
            self._end()
            self._parent.attempt_end()

    def fail(self, error: errors.RequestError, load: exchange.Load) -> None:
        """Takes the failure of the attempt."""
        if not self._stale():
            if self.awaiting_grant:
                # The agent was never allowed to hand the request over.
                error.executed = errors.Executed.NO
            self._end(code=error.code, executed=error.executed.value)
            self._parent.attempt_failed(self, error, load)

    def consumed(self, count: int) -> None:
        """Takes the progress of the request body."""
        if not self.done:
            self._consumed += count
            self._parent.attempt_body_consumed(self, self._consumed)

    def _stale(self, repeated: bool = False) -> bool:
        stale = self.done or repeated
        if stale:
            self._deps.counts["answers_dropped"] += 1
        return stale


class _LosingAttemptParent:
    """Takes what comes for an attempt that lost against another one."""

    def __init__(self, deps: dependencies.Dependencies):
        self._deps = deps

    def attempt_head(
        self, attempt: Attempt, head: model.ResponseHead, load: exchange.Load
    ) -> None:
        now = self._deps.clock.seconds()
        self._deps.picker.observe(attempt.target.id, load, now)

    def attempt_body(self, data: bytes) -> None:
        pass

    def attempt_end(self) -> None:
        pass

    def attempt_failed(
        self,
        attempt: Attempt,
        error: errors.RequestError,
        load: exchange.Load,
    ) -> None:
        pass

    def attempt_body_consumed(self, attempt: Attempt, total: int) -> None:
        pass

    def attempt_granted(self, attempt: Attempt) -> None:
        pass
