"""Choice of targets and retries for one request."""

from typing import Protocol

from cicadafront import errors, model
from cicadafront.edge import attempt, held, order, parts, policies
from cicadafront.peer import exchange
from cicadafront.telemetry import tracing

MAX_ATTEMPTS = 4

# Another attempt cannot mend these.
_FINAL_CODES = frozenset(
    {"deadline_exceeded", "request_crashes_targets", "cancelled"}
)


class Parent(Protocol):
    """The exchange that the attempts belong to."""

    def answer_head(
        self, head: model.ResponseHead, load: exchange.Load
    ) -> None:
        """The head of the answer has arrived."""

    def answer_body(self, data: bytes) -> None:
        """A piece of the answer has arrived."""

    def answer_end(self) -> None:
        """The answer is complete."""

    def answer_failed(self, error: errors.RequestError) -> None:
        """No attempt has led to a complete answer."""

    def body_consumed(self, count: int) -> None:
        """A target took further bytes of the request body."""


class Attempts:
    """Runs one request at one target after another.

    Attributes:
        maybe_ran: Whether a target may have run the request.
    """

    def __init__(
        self,
        site: parts.Parts,
        wanted: order.Order,
        body: held.HeldBody,
        deadline: float,
        fingerprint: bytes,
        parent: Parent,
        context: tracing.SpanContext,
    ):
        self.maybe_ran = False
        self._site = site
        self._order = wanted
        self._service = wanted.route.service
        self._body = body
        self._deadline = deadline
        self._fingerprint = fingerprint
        self._parent = parent
        self._context = context
        self._current: attempt.Attempt | None = None
        self._count = 0
        self._excluded: set[str] = set()
        self._cut_off: list[model.Target] = []
        self._relayed: set[str] = set()
        self._headed = False

    @property
    def running(self) -> bool:
        """Whether an attempt is under way."""
        return self._current is not None and not self._current.done

    def start(self) -> None:
        """Makes the first attempt."""
        now = self._site.clock.seconds()
        self._site.budget.request(self._service, now)
        self._try(policies.unavailable(self._service))

    def cancel(self) -> None:
        """Gives up; a target that has the request may have run it."""
        if self._current is not None and not self._current.done:
            self.maybe_ran = True
            self._current.cancel()

    def body(self, data: bytes) -> None:
        """Passes on a piece of the request body."""
        sink = self._sink()
        if sink is not None:
            sink.body(data)

    def end(self) -> None:
        """Passes on the end of the request body."""
        sink = self._sink()
        if sink is not None:
            sink.end()

    def consumed(self, count: int) -> None:
        """Lets the target send more of the answer."""
        sink = self._sink()
        if sink is not None:
            sink.consumed(count)

    def _sink(self) -> exchange.RequestSink | None:
        return self._current.request if self._current is not None else None

    def _try(self, otherwise: errors.RequestError) -> None:
        via = ""
        try:
            target = self._pick()
        except errors.RequestError as error:
            self._parent.answer_failed(error)
            return
        if target is None:
            target, via = self._by_relay()
        if target is None:
            self._parent.answer_failed(otherwise)
            return
        self._count += 1
        self._excluded.add(target.id)
        span = self._site.tracer.start(
            "link",
            self._context,
            target=target.id,
            agent=target.instance,
            via=via,
            attempt=self._count,
        )
        opened = attempt.Attempt(self, target, self._site, span)
        self._current = opened
        request = self._request(target, via, span.context)
        sink = self._site.open_at(via or target.instance, request, opened)
        opened.request = sink
        if opened.done:
            return
        for piece in self._body.pieces():
            sink.body(piece)
        if self._body.complete and not opened.done:
            sink.end()

    def _pick(self) -> model.Target | None:
        lone = self._site.suspects.lone_target(
            self._order.account_id, self._fingerprint, self._service
        )
        if lone is None:
            now = self._site.clock.seconds()
            excluded = frozenset(self._excluded)
            return self._site.picker.pick(self._service, excluded, now)
        found = self._site.targets(self._service)
        return next(
            (
                target
                for target in found
                if target.id == lone and lone not in self._excluded
            ),
            None,
        )

    def _by_relay(self) -> tuple[model.Target | None, str]:
        while self._cut_off:
            target = self._cut_off.pop(0)
            via = self._site.relay(target.instance)
            if via is not None and target.id not in self._relayed:
                self._site.counts["relayed"] += 1
                self._relayed.add(target.id)
                return target, via
        return None, ""

    def _request(
        self, target: model.Target, via: str, context: tracing.SpanContext
    ) -> exchange.OpenRequest:
        wanted = self._order
        remaining = self._deadline - self._site.clock.seconds()
        return exchange.OpenRequest(
            head=wanted.head,
            account=wanted.account_id,
            service=self._service,
            target=target.id,
            timeout=max(0.0, remaining),
            repeatable=wanted.route.repeatable,
            traceparent=context.traceparent(),
            attempt=self._count,
            weight=wanted.account.weight if wanted.account else 1.0,
            fingerprint=self._fingerprint,
            relay_to=target.instance if via else "",
        )

    # From the current attempt.

    def attempt_head(
        self,
        attempt: attempt.Attempt,
        head: model.ResponseHead,
        load: exchange.Load,
    ) -> None:
        """Passes on the head of the answer."""
        now = self._site.clock.seconds()
        self._site.picker.observe(attempt.target.id, load, now)
        self._headed = True
        self.maybe_ran = True
        self._parent.answer_head(head, load)

    def attempt_body(self, data: bytes) -> None:
        """Passes on a piece of the answer."""
        self._parent.answer_body(data)

    def attempt_end(self) -> None:
        """Passes on the end of the answer."""
        self._parent.answer_end()

    def attempt_took(self, attempt: attempt.Attempt, total: int) -> None:
        """Lets the caller send more of the body."""
        fresh = self._body.take(total)
        if fresh:
            self._parent.body_consumed(fresh)

    def attempt_failed(
        self,
        attempt: attempt.Attempt,
        error: errors.RequestError,
        load: exchange.Load,
    ) -> None:
        """Tries another target, or gives up."""
        now = self._site.clock.seconds()
        if error.executed is errors.Executed.UNKNOWN:
            self.maybe_ran = True
        if error.code == errors.LinkLostError.code:
            self._cut(attempt.target)
        else:
            self._site.picker.observe(attempt.target.id, load, now)
        if self._may_retry(error):
            self._site.counts["retries"] += 1
            self._try(error)
        else:
            self._parent.answer_failed(error)

    def _cut(self, target: model.Target) -> None:
        self._cut_off.append(target)
        beside = self._site.targets(self._service)
        self._excluded.update(
            other.id for other in beside if other.instance == target.instance
        )

    def _may_retry(self, error: errors.RequestError) -> bool:
        if self._headed or error.code in _FINAL_CODES:
            return False
        if self._count >= MAX_ATTEMPTS or self._body.dropped:
            return False
        if error.executed is errors.Executed.UNKNOWN and not (
            self._order.route.repeatable and self._body.whole()
        ):
            return False
        now = self._site.clock.seconds()
        return self._site.budget.try_retry(self._service, now)
