"""One attempt to run a request at a target."""

from typing import Any, Protocol

from cicadafront import errors, model
from cicadafront.edge import dependencies
from cicadafront.peer import exchange
from cicadafront.telemetry import tracing

# An attempt that has lost against a hedge is cancelled only at this age, so
# that its agent can still detect a slow or stalled target. A stalled request
# counts again after each 250 ms; with a limit of 0.35 s, three stalled requests
# that filled all slots of a target never produced a verdict on it.
LOSER_GRACE_SECONDS = 1.0
# An agent that may not queue a request replies within a few milliseconds.
GRANT_TIMEOUT_SECONDS = 0.15


class Parent(Protocol):
    """Receives the events of an attempt."""

    def attempt_head(
        self, attempt: "Attempt", head: model.ResponseHead, load: exchange.Load
    ) -> None:
        """Called when the response head arrives."""

    def attempt_body(self, data: bytes) -> None:
        """Called for each chunk of the response body."""

    def attempt_end(self) -> None:
        """Called when the response is complete."""

    def attempt_failed(
        self,
        attempt: "Attempt",
        error: errors.RequestError,
        load: exchange.Load,
    ) -> None:
        """Called when the attempt has failed."""

    def attempt_body_consumed(self, attempt: "Attempt", total: int) -> None:
        """Called when the target has consumed `total` bytes of the body."""

    def attempt_granted(self, attempt: "Attempt") -> None:
        """Called when the agent may run the request and accepts its body."""

    def attempt_path_suspected(self, attempt: "Attempt") -> None:
        """Called when the instance of the agent may be cut off."""

    def attempt_eligible(self, attempt: "Attempt") -> bool:
        """Returns whether the request may still run at the target."""


class Attempt:
    """Receives the response of one attempt.

    Events after the end of the attempt are dropped and counted.

    Attributes:
        target: The chosen target.
        span: Span of the attempt.
        request: Sink for the request body, or None before the stream is open.
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
        """Target id, state and age of the attempt, for the log.

        The states are `waits` (the request has certainly not run), `may_run`
        and `answers` (the response head has arrived).
        """
        place = "waits" if self.awaiting_grant else "may_run"
        if self._head_received:
            place = "answers"
        age = self._deps.clock.seconds() - self._started_at
        return f"{self.target.id} {place} {round(age * 1000)}ms"

    def attach(
        self, sink: exchange.RequestSink, request: exchange.OpenRequest
    ) -> None:
        """Sets the stream that the attempt uses."""
        self.request = sink
        self.awaiting_grant = request.confirm
        if request.confirm and not request.insist and not self.done:
            clock = self._deps.clock
            self._grant_timer = clock.callLater(
                GRANT_TIMEOUT_SECONDS, self._grant_timed_out
            )

    def granted(self) -> None:
        """Confirms the request once the agent has granted it a slot."""
        if self.done or self.request is None or not self.awaiting_grant:
            return
        if not self._parent.attempt_eligible(self):
            self.withdraw()
            return
        self.awaiting_grant = False
        self._cancel_grant_timer()
        self.request.go()
        self._parent.attempt_granted(self)

    def withdraw(self) -> None:
        """Ends an attempt that waits and whose target became ineligible.

        The request has not run, so that any request can go to another target.
        """
        if self.done or self.request is None or not self.awaiting_grant:
            return
        self._deps.counts["evacuation_reroutes"] += 1
        self.request.cancel()
        self.fail(
            errors.TargetLeavingError(
                f"Data centre {self.target.data_centre} is evacuated; retry.",
                retry_after=1.0,
            ),
            exchange.Load(),
        )

    def path_suspected(self) -> None:
        """Handles a sign that the instance of the agent may be cut off."""
        if not self.done:
            self._parent.attempt_path_suspected(self)

    def _grant_timed_out(self) -> None:
        """Fails the attempt; an unconfirmed request does not run."""
        if self.done or self.request is None:
            return
        self.request.cancel()
        self.fail(
            errors.LinkLostError(
                f"Instance {self.target.instance} did not respond; try again."
            ),
            exchange.Load(),
        )

    def _cancel_grant_timer(self) -> None:
        if self._grant_timer is not None and self._grant_timer.active():
            self._grant_timer.cancel()

    def cancel(self) -> None:
        """Cancels the attempt."""
        if not self.done:
            self._end(cancelled=True)
            if self.request is not None:
                self.request.cancel()

    def lose_race(self) -> None:
        """Discards the response because another attempt was faster.

        The attempt stays open until `LOSER_GRACE_SECONDS` after its start.
        """
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
        """Handles the response head."""
        if self._stale(repeated=self._head_received):
            return
        self._head_received = True
        self.span.fields["status"] = head.status
        self._parent.attempt_head(self, head, load)

    def body(self, data: bytes) -> None:
        """Handles a chunk of the response body."""
        if not self._stale():
            self._parent.attempt_body(data)

    def end(self) -> None:
        """Handles the end of the response."""
        if not self._stale():
            self._end()
            self._parent.attempt_end()

    def fail(self, error: errors.RequestError, load: exchange.Load) -> None:
        """Handles the failure of the attempt."""
        if not self._stale():
            if self.awaiting_grant:
                # The agent had no confirmation, so the request has not run.
                error.executed = errors.Executed.NO
            self._end(code=error.code, executed=error.executed.value)
            self._parent.attempt_failed(self, error, load)

    def consumed(self, count: int) -> None:
        """Handles flow-control credit for the request body.

        Args:
            count: Additional bytes that the target has consumed.
        """
        if not self.done:
            self._consumed += count
            self._parent.attempt_body_consumed(self, self._consumed)

    def _stale(self, repeated: bool = False) -> bool:
        stale = self.done or repeated
        if stale:
            self._deps.counts["answers_dropped"] += 1
        return stale


class _LosingAttemptParent:
    """Discards the events of an attempt that lost against another one.

    Only the reported load is still passed to the picker.
    """

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

    def attempt_path_suspected(self, attempt: Attempt) -> None:
        pass

    def attempt_eligible(self, attempt: Attempt) -> bool:
        return True
