"""One attempt to run a request at a target."""

from typing import Protocol

from cicadafront import errors, model
from cicadafront.edge import parts
from cicadafront.peer import exchange
from cicadafront.telemetry import tracing


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

    def attempt_took(self, attempt: "Attempt", total: int) -> None:
        """The target took `total` bytes of the body so far."""


class Attempt:
    """Takes the answer of one attempt and drops what comes after its end.

    Attributes:
        target: The chosen target.
        span: Span of the attempt.
        request: Takes the request body once the stream is open.
        done: Whether the attempt has ended.
    """

    def __init__(
        self,
        parent: Parent,
        target: model.Target,
        site: parts.Parts,
        span: tracing.Span,
    ):
        self.target = target
        self.span = span
        self.request: exchange.RequestSink | None = None
        self.done = False
        self._parent = parent
        self._site = site
        self._taken = 0
        self._headed = False

    def cancel(self) -> None:
        """Gives the attempt up."""
        if not self.done:
            self.done = True
            self._site.tracer.finish(self.span, cancelled=True)
            if self.request is not None:
                self.request.cancel()

    def head(self, head: model.ResponseHead, load: exchange.Load) -> None:
        """Takes the head of the answer."""
        if self._stale(twice=self._headed):
            return
        self._headed = True
        self.span.fields["status"] = head.status
        self._parent.attempt_head(self, head, load)

    def body(self, data: bytes) -> None:
        """Takes a piece of the answer."""
        if not self._stale():
            self._parent.attempt_body(data)

    def end(self) -> None:
        """Takes the end of the answer."""
        if not self._stale():
            self.done = True
            self._site.tracer.finish(self.span)
            self._parent.attempt_end()

    def fail(self, error: errors.RequestError, load: exchange.Load) -> None:
        """Takes the failure of the attempt."""
        if not self._stale():
            self.done = True
            self._site.tracer.finish(
                self.span, code=error.code, executed=error.executed.value
            )
            self._parent.attempt_failed(self, error, load)

    def consumed(self, count: int) -> None:
        """Takes the progress of the request body."""
        if not self.done:
            self._taken += count
            self._parent.attempt_took(self, self._taken)

    def _stale(self, twice: bool = False) -> bool:
        stale = self.done or twice
        if stale:
            self._site.counts["answers_dropped"] += 1
        return stale
