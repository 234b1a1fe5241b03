"""Choice of targets, retries and hedges for one request."""

from typing import Any, Protocol

from cicadafront import errors, model
from cicadafront.edge import (
    attempt,
    candidates,
    held,
    order,
    parts,
    policies,
    repeats,
)
from cicadafront.peer import exchange
from cicadafront.telemetry import tracing

# Another attempt cannot mend these.
_FINAL_CODES = frozenset(
    {"deadline_exceeded", "request_crashes_targets", "cancelled"}
)
# Targets that are not asked again for a request, however firmly.
_SHUT_CODES = frozenset(
    {"target_leaving", "instance_leaving", "no_target", "target_failed"}
)

_SERVER_ERROR = 500
# Pause after all candidates for a second copy refused: slots come free within
# part of a usual time, and doubts of agents hold for 0.25 s.
HEDGE_AGAIN_SECONDS = 0.1


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

    def fits(self) -> bool:
        """Whether an attempt that begins now can end before a stop does."""

    def attempt_said(self, target: str, what: str) -> None:
        """An attempt got an answer, or failed with an error code."""


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
        self._service = wanted.service
        by_route = site.asking.hedge_by_route
        self._hedged_group = wanted.route.id if by_route else self._service
        self._body = body
        self._deadline = deadline
        self._fingerprint = fingerprint
        self._parent = parent
        self._context = context
        self._current: attempt.Attempt | None = None
        # A second copy of a read, while neither copy has an answer.
        self._hedge: attempt.Attempt | None = None
        self._timer: Any = None
        self._began = 0.0
        self._count = 0
        self._repeats = repeats.Repeats(site, wanted)
        self._candidates = candidates.Candidates(site, wanted, fingerprint)
        self._headed = False
        # Whether the budget has paid for a second copy.
        self._hedge_paid = False

    @property
    def running(self) -> bool:
        """Whether an attempt is under way."""
        return any(not copy.done for copy in self._copies())

    @property
    def handed_over(self) -> bool:
        """Whether a target may have the request at the moment."""
        copies = self._copies()
        return any(not (copy.done or copy.confirms) for copy in copies)

    @property
    def standing(self) -> list[str]:
        """Where each copy of the request stands, for the log."""
        return [copy.standing for copy in self._copies() if not copy.done]

    def _copies(self) -> list[attempt.Attempt]:
        copies = (self._current, self._hedge)
        return [copy for copy in copies if copy is not None]

    def start(self) -> None:
        """Makes the first attempt."""
        self._began = self._site.clock.seconds()
        self._repeats.start()
        self._plan_hedge()
        self._try(policies.unavailable(self._service))

    def cancel(self) -> None:
        """Gives up; a target that has the request may have run it."""
        self._disarm()
        self._repeats.cancelled = True
        for copy in self._copies():
            if not copy.done:
                self.maybe_ran = self.maybe_ran or not copy.confirms
                copy.cancel()

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
        current = self._current
        if current is None or current.confirms:
            return None
        return current.request

    def _try(self, otherwise: errors.RequestError) -> None:
        via = ""
        try:
            target = self._candidates.next()
        except errors.RequestError as error:
            self._parent.answer_failed(error)
            return
        if target is None:
            target, via = self._candidates.by_relay()
        if target is None:
            self._parent.attempt_said("-", self._candidates.view())
            self._parent.answer_failed(otherwise)
            return
        insist = self._candidates.round.insist
        self._current = self._opened(target, via)
        self._send(self._current, target, via, insist)

    def _opened(self, target: model.Target, via: str) -> attempt.Attempt:
        self._count += 1
        span = self._site.tracer.start(
            "link",
            self._context,
            target=target.id,
            agent=target.instance,
            via=via,
            attempt=self._count,
        )
        return attempt.Attempt(self, target, self._site, span)

    def _send(
        self,
        opened: attempt.Attempt,
        target: model.Target,
        via: str,
        insist: int,
    ) -> None:
        request = self._request(target, via, insist, opened.span.context)
        sink = self._site.open_at(via or target.instance, request, opened)
        opened.attach(sink, request)
        if not (opened.done or opened.confirms):
            self._pour(opened)

    def _pour(self, opened: attempt.Attempt) -> None:
        """Sends what has arrived of the request's body."""
        sink = opened.request
        if sink is None:
            return
        for piece in self._body.pieces():
            sink.body(piece)
        if self._body.complete and not opened.done:
            sink.end()

    def attempt_granted(self, attempt: attempt.Attempt) -> None:
        """Sends the body: an agent that refuses must not have cost it."""
        self._pour(attempt)

    # Hedges.

    def _plan_hedge(self) -> None:
        if not (self._order.is_read and self._body.complete):
            return
        delay = self._site.hedges.delay(self._hedged_group)
        if delay is not None and not self._body.size:
            clock = self._site.clock
            self._timer = clock.callLater(delay, self._start_hedge)

    def _disarm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _start_hedge(self) -> None:
        self._candidates.forget_hedges()
        self._hedge_next()

    def _hedge_next(self) -> None:
        """Asks the next candidate for a second copy, or pauses."""
        if not self._may_hedge():
            return
        running = {copy.target.id for copy in self._copies()}
        try:
            target = self._candidates.next_for_hedge(running)
        except errors.RequestError:
            # The running copy decides about the answer.
            return
        if target is None:
            self._hedge_later()
        elif self._hedge_paid:
            self._hedge_at(target)
        else:
            self._repeats.pay(
                repeats.Kind.SECOND_COPY,
                lambda: self._hedge_at(target),
                self._hedge_refused,
            )

    def _may_hedge(self) -> bool:
        if self._headed or self._hedge is not None or not self.running:
            return False
        if not self._parent.fits():
            return False
        limit = self._order.route.attempts
        return not self._site.asking.free or self._repeats.offered + 1 < limit

    def _hedge_later(self) -> None:
        if self._site.asking.free:
            clock = self._site.clock
            self._timer = clock.callLater(
                HEDGE_AGAIN_SECONDS, self._start_hedge
            )

    def _hedge_refused(self) -> None:
        self._site.counts["hedges_refused"] += 1

    def _hedge_at(self, target: model.Target) -> None:
        if not self._may_hedge():
            return
        self._hedge_paid = True
        self._site.counts["hedges"] += 1
        insist = self._candidates.round.insist
        if self._site.asking.free:
            insist = exchange.REQUIRE_FREE_SLOT
        self._hedge = self._opened(target, "")
        self._parent.attempt_said(target.id, "hedged")
        self._send(self._hedge, target, "", insist)

    def _win(self, winner: attempt.Attempt) -> None:
        self._disarm()
        seconds = self._site.clock.seconds() - self._began
        if self._order.is_read and not self._body.size:
            self._site.hedges.answered(self._hedged_group, seconds)
        if self._hedge is None:
            return
        self._site.counts["hedges_won"] += winner is self._hedge
        for copy in self._copies():
            if copy is not winner:
                copy.overtaken()
        self._current, self._hedge = winner, None

    def _request(
        self,
        target: model.Target,
        via: str,
        insist: int,
        context: tracing.SpanContext,
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
            insist=insist,
            priority=wanted.priority,
            objective=wanted.route.objective,
            arrivals=self._arrivals(),
            confirm=self._site.asking.confirm
            and target.instance != self._site.instance,
        )

    def _arrivals(self) -> int:
        """Returns how many targets have had the request, or have it now."""
        copies = [copy for copy in self._copies() if copy.request is not None]
        having = sum(not (copy.done or copy.confirms) for copy in copies)
        return self._repeats.offered + having

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
        self.maybe_ran = True
        self._parent.attempt_said(attempt.target.id, str(head.status))
        if head.status >= _SERVER_ERROR and self._retries_error(attempt, load):
            return
        self._headed = True
        self._win(attempt)
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
        reached = error.executed is errors.Executed.UNKNOWN
        self.maybe_ran = self.maybe_ran or reached
        self._parent.attempt_said(attempt.target.id, error.code)
        reached = reached or error.code == errors.TargetShedError.code
        self._repeats.offered += reached
        if reached or error.code in _SHUT_CODES:
            self._candidates.shut(attempt.target)
        if error.code == errors.TargetDoubtedError.code:
            until = now + (error.retry_after or 0.0)
            self._site.picker.doubted(attempt.target.id, until)
        if error.code == errors.LinkLostError.code:
            self._candidates.cut(attempt.target)
        else:
            self._site.picker.observe(attempt.target.id, load, now)
        left = next((copy for copy in self._copies() if not copy.done), None)
        if left is not None:
            # The other copy may still answer.
            self._current, self._hedge = left, None
            if self._hedge_paid and not reached and self._site.asking.free:
                self._hedge_next()
            return
        if reached or not self._site.asking.free:
            self._disarm()
        self._retry(error)

    def _retry(self, error: errors.RequestError) -> None:
        """Goes to another target, if that is allowed, or gives up."""
        if not self._may_retry(error, self._repeats.offered):
            self._parent.answer_failed(error)
        elif self._is_free(error):
            self._again(error)
        else:
            self._repeats.pay(
                repeats.Kind.RETRY,
                lambda: self._again(error),
                lambda: self._parent.answer_failed(error),
            )

    def _again(self, error: errors.RequestError) -> None:
        if not self._parent.fits():
            # The retry budget may have taken a while to answer.
            self._parent.answer_failed(error)
            return
        self._site.counts["retries"] += 1
        self._try(error)

    def _retries_error(
        self, attempt: attempt.Attempt, load: exchange.Load
    ) -> bool:
        """Goes to another target in place of passing on a server error."""
        if not self._site.asking.retry_errors:
            return False
        error = errors.TargetFailedError(
            f"Target {attempt.target.id} answered with a server error.",
            executed=errors.Executed.UNKNOWN,
        )
        others = [copy for copy in self._copies() if copy is not attempt]
        alone = all(copy.done for copy in others)
        if alone and not self._may_retry(error, self._repeats.offered + 1):
            return False
        attempt.cancel()
        self.attempt_failed(attempt, error, load)
        return True

    def _may_retry(self, error: errors.RequestError, offered: int) -> bool:
        if self._headed or error.code in _FINAL_CODES or self._body.dropped:
            return False
        if not self._parent.fits():
            return False
        if error.executed is errors.Executed.UNKNOWN and not (
            self._order.route.repeatable and self._body.whole()
        ):
            return False
        if self._is_free(error):
            return True
        used = offered if self._site.asking.free else self._count
        return used < self._order.route.attempts

    def _is_free(self, error: errors.RequestError) -> bool:
        """Tells whether the request has not even reached the target."""
        return (
            self._site.asking.free
            and error.executed is errors.Executed.NO
            and error.code != errors.TargetShedError.code
        )
