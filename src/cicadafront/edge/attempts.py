"""Target selection, retries and hedging for one request."""

from typing import Any, Protocol

from cicadafront import errors, model
from cicadafront.edge import (
    attempt,
    budget_queue,
    buffers,
    candidates,
    dependencies,
    policies,
    resolved_request,
    retry_charges,
)
from cicadafront.peer import exchange
from cicadafront.routing import refused_work
from cicadafront.telemetry import tracing

# Error codes after which another attempt would be useless.
_NON_RETRYABLE_CODES = frozenset(
    {"deadline_exceeded", "request_crashes_targets", "cancelled"}
)
# Error codes after which a target gets no further attempt of the request, in
# any round.
_EXCLUDING_CODES = frozenset(
    {"target_leaving", "instance_leaving", "no_target", "target_failed"}
)
# Error codes after which the target is avoided for the error's `retry_after`.
_AVOIDING_CODES = frozenset({"target_doubted", "target_cold"})

_SERVER_ERROR = 500
# Pause after all hedge candidates have refused. Slots become free within a
# fraction of the usual response time, and an agent that suspects a target
# does so for 0.25 s.
HEDGE_RETRY_SECONDS = 0.1


class Parent(Protocol):
    """Exchange that owns the attempts and receives their result."""

    def response_head(
        self, head: model.ResponseHead, load: exchange.Load
    ) -> None:
        """Called when the response head arrives."""

    def response_body(self, data: bytes) -> None:
        """Called for each chunk of the response body."""

    def response_end(self) -> None:
        """Called when the response is complete."""

    def request_failed(self, error: errors.RequestError) -> None:
        """Called when no attempt led to a complete response."""

    def request_body_consumed(self, count: int) -> None:
        """Called when a target has consumed more of the request body.

        Args:
            count: Number of additional bytes.
        """

    def can_finish_in_time(self) -> bool:
        """Whether an attempt started now can end before a planned stop."""

    def record_attempt(self, target: str, outcome: str) -> None:
        """Records the outcome of an attempt: a status or an error code."""


class Attempts:
    """Sends one request to targets until one of them responds.

    Attributes:
        may_have_run: Whether a target may have run the request.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        resolved: resolved_request.ResolvedRequest,
        body: buffers.RequestBodyBuffer,
        deadline: float,
        fingerprint: bytes,
        parent: Parent,
        context: tracing.SpanContext,
    ):
        self.may_have_run = False
        self._deps = deps
        self._resolved = resolved
        self._service = resolved.service
        by_route = deps.dispatch.hedge_by_route
        self._hedge_group = resolved.route.id if by_route else self._service
        self._body = body
        self._deadline = deadline
        self._fingerprint = fingerprint
        self._parent = parent
        self._context = context
        self._current: attempt.Attempt | None = None
        # Hedge of a read, as long as neither attempt has a response head.
        self._hedge: attempt.Attempt | None = None
        # Further places in queues, of which the first free one is used.
        self._places: list[attempt.Attempt] = []
        self._hedge_timer: Any = None
        self._waiting: budget_queue.Waiting | None = None
        self._started_at = 0.0
        self._count = 0
        self._charges = retry_charges.RetryCharges(deps, resolved)
        self._candidates = candidates.Candidates(deps, resolved, fingerprint)
        self._head_received = False
        # Whether the retry budget has been charged for a hedge.
        self._hedge_charged = False

    @property
    def running(self) -> bool:
        """Whether an attempt is in flight."""
        return any(not each.done for each in self._attempts())

    @property
    def handed_over(self) -> bool:
        """Whether a target may be processing the request now."""
        attempts = self._attempts()
        return any(not (each.done or each.awaiting_grant) for each in attempts)

    @property
    def progress(self) -> list[str]:
        """State of each attempt in flight, for the log."""
        return [each.progress for each in self._attempts() if not each.done]

    def _attempts(self) -> list[attempt.Attempt]:
        attempts = (self._current, self._hedge, *self._places)
        return [each for each in attempts if each is not None]

    def start(self) -> None:
        """Starts the first attempt."""
        self._started_at = self._deps.clock.seconds()
        self._charges.start()
        self._plan_hedge()
        self._start_attempt(policies.unavailable(self._service))

    def cancel(self) -> None:
        """Cancels all attempts.

        A target that has received the request may have run it.
        """
        self._cancel_hedge_timer()
        if self._waiting is not None:
            self._deps.budget_queue.remove(self._waiting)
        self._charges.cancelled = True
        for each in self._attempts():
            if not each.done:
                self.may_have_run = self.may_have_run or not each.awaiting_grant
                each.cancel()

    def body(self, data: bytes) -> None:
        """Forwards a chunk of the request body."""
        sink = self._request_sink()
        if sink is not None:
            sink.body(data)

    def end(self) -> None:
        """Forwards the end of the request body."""
        sink = self._request_sink()
        if sink is not None:
            sink.end()

    def consumed(self, count: int) -> None:
        """Lets the target send more of the response.

        Args:
            count: Bytes of the response body that the caller has taken.
        """
        sink = self._request_sink()
        if sink is not None:
            sink.consumed(count)

    def _request_sink(self) -> exchange.RequestSink | None:
        current = self._current
        if current is None or current.awaiting_grant:
            return None
        return current.request

    def _start_attempt(self, fallback_error: errors.RequestError) -> None:
        via = ""
        try:
            target = self._candidates.next()
        except errors.RequestError as error:
            self._parent.request_failed(error)
            return
        if target is None:
            target, via = self._candidates.next_by_relay()
        if target is None:
            self._parent.record_attempt("-", self._candidates.summary())
            self._parent.request_failed(fallback_error)
            return
        insist = self._candidates.round.insist
        self._current = self._new_attempt(target, via)
        self._send(self._current, target, via, insist)
        if not via:
            self._reserve_places(self._current)

    def _reserve_places(self, first: attempt.Attempt) -> None:
        """Asks the other candidates of the round for a place at once.

        Args:
            first: The attempt at the first candidate.
        """
        # Without a confirmation the first agent may run the request at once.
        while (
            self._current is first
            and first.awaiting_grant
            and not first.done
            and 1 + len(self._places) < self._candidates.round.places
        ):
            try:
                target = self._candidates.next_place()
            except errors.RequestError:
                return
            if target is None:
                return
            self._deps.counts["places_reserved"] += 1
            place = self._new_attempt(target, "")
            self._places.append(place)
            self._send(place, target, "", self._candidates.round.insist)

    def _use_place(self, granted: attempt.Attempt) -> None:
        """Gives up the other places; their agents have no confirmation."""
        if granted is self._hedge or not self._places:
            return
        places = [self._current, *self._places]
        self._current, self._places = granted, []
        for each in places:
            if each is not None and each is not granted:
                each.cancel()

    def _drop_failed(self) -> None:
        """Lets an open attempt take the role of one that has failed."""
        self._places = [each for each in self._places if not each.done]
        if self._hedge is not None and self._hedge.done:
            self._hedge = None
        if self._current is not None and self._current.done:
            if self._places:
                self._current = self._places.pop(0)
            elif self._hedge is not None:
                self._current, self._hedge = self._hedge, None

    def _new_attempt(self, target: model.Target, via: str) -> attempt.Attempt:
        self._count += 1
        span = self._deps.tracer.start(
            "link",
            self._context,
            target=target.id,
            agent=target.instance,
            via=via,
            attempt=self._count,
        )
        return attempt.Attempt(self, target, self._deps, span)

    def _send(
        self,
        attempt_: attempt.Attempt,
        target: model.Target,
        via: str,
        insist: int,
    ) -> None:
        request = self._request(target, via, insist, attempt_.span.context)
        sink = self._deps.open_at(via or target.instance, request, attempt_)
        attempt_.attach(sink, request)
        if not (attempt_.done or attempt_.awaiting_grant):
            self._send_body(attempt_)

    def _send_body(self, attempt_: attempt.Attempt) -> None:
        """Sends the part of the request body that has arrived."""
        sink = attempt_.request
        if sink is None:
            return
        try:
            pieces = self._body.hand_over()
        except errors.BodyDiscardedError as error:
            # A target must not run the request with a part of its body.
            attempt_.cancel()
            self._parent.request_failed(error)
            return
        for piece in pieces:
            sink.body(piece)
        if self._body.complete and not attempt_.done:
            sink.end()

    def attempt_granted(self, attempt: attempt.Attempt) -> None:
        """Sends the body.

        It is sent only after the grant, so that a refusal does not cost the
        transfer of the body.
        """
        self._use_place(attempt)
        self._send_body(attempt)

    def attempt_path_suspected(self, attempt: attempt.Attempt) -> None:
        """Sends the planned hedge at once."""
        if self._hedge_timer is not None and self._hedge_timer.active():
            self._hedge_timer.cancel()
            self._start_hedge()

    def attempt_eligible(self, attempt: attempt.Attempt) -> bool:
        """Returns whether the request may still run at the target."""
        return self._candidates.is_eligible(attempt.target)

    def check_eligibility(self) -> None:
        """Reroutes the attempts that wait at targets that became ineligible."""
        for each in self._attempts():
            if not (each.done or self.attempt_eligible(each)):
                each.withdraw()

    # Hedges.

    def _plan_hedge(self) -> None:
        if not (self._resolved.is_read and self._body.complete):
            return
        delay = self._deps.hedges.delay(self._hedge_group)
        if delay is not None and not self._body.size:
            clock = self._deps.clock
            self._hedge_timer = clock.callLater(delay, self._start_hedge)

    def _cancel_hedge_timer(self) -> None:
        if self._hedge_timer is not None and self._hedge_timer.active():
            self._hedge_timer.cancel()

    def _start_hedge(self) -> None:
        self._candidates.reset_hedge_candidates()
        self._hedge_next()

    def _hedge_next(self) -> None:
        """Sends the hedge to the next candidate, or schedules a retry."""
        if not self._may_hedge():
            return
        running = {each.target.id for each in self._attempts()}
        try:
            target = self._candidates.next_for_hedge(running)
        except errors.RequestError:
            # The attempt in flight determines the response.
            return
        if target is None:
            self._schedule_hedge()
        elif self._hedge_charged:
            self._start_hedge_at(target)
        else:
            self._charges.charge(
                retry_charges.Kind.HEDGE,
                lambda: self._start_hedge_at(target),
                self._hedge_refused,
            )

    def _may_hedge(self) -> bool:
        if self._head_received or self._hedge is not None or not self.running:
            return False
        if not self._parent.can_finish_in_time():
            return False
        limit = self._resolved.route.attempts
        return (
            not self._deps.dispatch.free_redispatch
            or self._charges.arrivals + 1 < limit
        )

    def _schedule_hedge(self) -> None:
        if self._deps.dispatch.free_redispatch:
            clock = self._deps.clock
            self._hedge_timer = clock.callLater(
                HEDGE_RETRY_SECONDS, self._start_hedge
            )

    def _hedge_refused(self) -> None:
        self._deps.counts["hedges_refused"] += 1

    def _start_hedge_at(self, target: model.Target) -> None:
        if not self._may_hedge():
            return
        self._hedge_charged = True
        if not self._candidates.is_eligible(target):
            # The retry budget replied after an evacuation began.
            self._hedge_next()
            return
        self._deps.counts["hedges"] += 1
        insist = self._candidates.round.insist
        if self._deps.dispatch.free_redispatch:
            insist = exchange.REQUIRE_FREE_SLOT
        self._hedge = self._new_attempt(target, "")
        self._parent.record_attempt(target.id, "hedged")
        self._send(self._hedge, target, "", insist)

    def _accept(self, winner: attempt.Attempt) -> None:
        self._cancel_hedge_timer()
        seconds = self._deps.clock.seconds() - self._started_at
        if self._resolved.is_read and not self._body.size:
            self._deps.hedges.answered(self._hedge_group, seconds)
        if self._hedge is None and not self._places:
            return
        self._deps.counts["hedges_won"] += winner is self._hedge
        for each in self._attempts():
            if each is not winner:
                each.lose_race()
        self._current, self._hedge, self._places = winner, None, []

    def _request(
        self,
        target: model.Target,
        via: str,
        insist: int,
        context: tracing.SpanContext,
    ) -> exchange.OpenRequest:
        resolved = self._resolved
        remaining = self._deadline - self._deps.clock.seconds()
        return exchange.OpenRequest(
            head=resolved.head,
            account=resolved.account_id,
            service=self._service,
            target=target.id,
            timeout=max(0.0, remaining),
            repeatable=resolved.route.repeatable,
            traceparent=context.traceparent(),
            attempt=self._count,
            weight=resolved.account.weight if resolved.account else 1.0,
            fingerprint=self._fingerprint,
            relay_to=target.instance if via else "",
            insist=insist,
            priority=resolved.priority,
            objective=resolved.route.objective,
            arrivals=self._arrivals(),
            confirm=self._deps.dispatch.confirm
            and target.instance != self._deps.instance,
        )

    def _arrivals(self) -> int:
        """Returns how many attempts have reached a target, or may have."""
        attempts = [
            each for each in self._attempts() if each.request is not None
        ]
        in_flight = sum(
            not (each.done or each.awaiting_grant) for each in attempts
        )
        return self._charges.arrivals + in_flight

    # Events of the attempts.

    def attempt_head(
        self,
        attempt: attempt.Attempt,
        head: model.ResponseHead,
        load: exchange.Load,
    ) -> None:
        """Forwards the response head, or retries a server error."""
        now = self._deps.clock.seconds()
        self._deps.picker.observe(attempt.target.id, load, now)
        self.may_have_run = True
        self._parent.record_attempt(attempt.target.id, str(head.status))
        if head.status >= _SERVER_ERROR and self._retries_server_error(
            attempt, load
        ):
            return
        self._head_received = True
        self._accept(attempt)
        self._parent.response_head(head, load)

    def attempt_body(self, data: bytes) -> None:
        """Forwards a chunk of the response body."""
        self._parent.response_body(data)

    def attempt_end(self) -> None:
        """Forwards the end of the response."""
        self._parent.response_end()

    def attempt_body_consumed(
        self, attempt: attempt.Attempt, total: int
    ) -> None:
        """Lets the caller send more of the request body.

        Bytes that an earlier attempt has already reported are not reported
        again.
        """
        fresh = self._body.mark_consumed(total)
        if fresh:
            self._parent.request_body_consumed(fresh)

    def attempt_failed(
        self,
        attempt: attempt.Attempt,
        error: errors.RequestError,
        load: exchange.Load,
    ) -> None:
        """Retries at another target, or reports the failure."""
        now = self._deps.clock.seconds()
        reached = error.executed is errors.Executed.UNKNOWN
        self.may_have_run = self.may_have_run or reached
        self._parent.record_attempt(attempt.target.id, error.code)
        reached = reached or error.code == errors.TargetShedError.code
        self._charges.arrivals += reached
        if reached or error.code in _EXCLUDING_CODES:
            self._candidates.exclude(attempt.target)
        if error.code in _AVOIDING_CODES:
            until = now + (error.retry_after or 0.0)
            self._deps.picker.avoid_until(attempt.target.id, until)
        if error.code == errors.LinkLostError.code:
            self._candidates.exclude_unreachable(attempt.target)
        else:
            self._deps.picker.observe(attempt.target.id, load, now)
        other = next((each for each in self._attempts() if not each.done), None)
        if other is not None:
            # The other attempt may still get a response.
            had_place = bool(self._places) and attempt is not self._hedge
            self._drop_failed()
            if (
                self._hedge_charged
                and not had_place
                and not reached
                and self._deps.dispatch.free_redispatch
            ):
                self._hedge_next()
            return
        if reached or not self._deps.dispatch.free_redispatch:
            self._cancel_hedge_timer()
        self._retry(error)

    def _retry(self, error: errors.RequestError) -> None:
        """Retries at another target if allowed, else reports the error."""
        if not self._may_retry(error, self._charges.arrivals):
            self._parent.request_failed(error)
            return
        # The rest of the body may arrive before the next attempt begins.
        self._body.take_back()
        if self._is_free_retry(error):
            self._start_retry(error)
        else:
            self._charges.charge(
                retry_charges.Kind.RETRY,
                lambda: self._start_retry(error),
                lambda: self._budget_refused(error),
            )

    def _budget_refused(self, error: errors.RequestError) -> None:
        now, objective = self._deps.clock.seconds(), self._objective
        until = refused_work.waits_until(self._deadline, objective)
        if (
            error.executed is errors.Executed.UNKNOWN
            or not self._waits_for_budget()
            or now >= until
        ):
            self._refuse(error)
            return
        is_call = self._is_call()
        self._deps.counts["waits_for_retry_budget"] += 1
        self._waiting = budget_queue.Waiting(
            self._service,
            0 if is_call else 1 + self._resolved.priority,
            self._started_at + (1 - refused_work.MIN_LEFT_SHARE) * objective,
            until,
            lambda: self._start_retry(error),
            lambda: self._refuse(error),
        )
        self._deps.budget_queue.add(self._waiting)

    def _is_call(self) -> bool:
        # Only the calls of local targets come without a client account.
        return self._resolved.account is None

    def _waits_for_budget(self) -> bool:
        """Whether a refused request waits for the retry budget.

        Where targets call the service, clients leave the budget to the calls:
        a call that fails wastes the work of the request that makes it.
        """
        configuration = self._deps.configuration()
        return (
            configuration is not None
            and configuration.is_shared(self._service)
            and (self._is_call() or not configuration.is_called(self._service))
        )

    @property
    def _objective(self) -> float:
        return self._resolved.route.objective

    def _refuse(self, error: errors.RequestError) -> None:
        if self._is_shared() and error.code == errors.TargetShedError.code:
            error.retry_after = refused_work.retry_after(self._deps.rng)
        self._parent.request_failed(error)

    def _is_shared(self) -> bool:
        configuration = self._deps.configuration()
        return configuration is not None and configuration.is_shared(
            self._service
        )

    def _start_retry(self, error: errors.RequestError) -> None:
        if not self._parent.can_finish_in_time():
            # The retry budget may have replied late.
            self._parent.request_failed(error)
            return
        self._deps.counts["retries"] += 1
        self._start_attempt(error)

    def _retries_server_error(
        self, attempt: attempt.Attempt, load: exchange.Load
    ) -> bool:
        """Retries at another target instead of forwarding a server error.

        Returns:
            Whether the server error is replaced by another attempt.
        """
        if not self._deps.dispatch.retry_server_errors:
            return False
        error = errors.TargetFailedError(
            f"Target {attempt.target.id} responded with a server error.",
            executed=errors.Executed.UNKNOWN,
        )
        others = [each for each in self._attempts() if each is not attempt]
        alone = all(each.done for each in others)
        if alone and not self._may_retry(error, self._charges.arrivals + 1):
            return False
        attempt.cancel()
        self.attempt_failed(attempt, error, load)
        return True

    def _may_retry(self, error: errors.RequestError, arrivals: int) -> bool:
        if (
            self._head_received
            or error.code in _NON_RETRYABLE_CODES
            or self._body.dropped
        ):
            return False
        if not self._parent.can_finish_in_time():
            return False
        if error.executed is errors.Executed.UNKNOWN and not (
            self._resolved.route.repeatable and self._body.is_replayable()
        ):
            return False
        if self._is_free_retry(error):
            return True
        used = arrivals if self._deps.dispatch.free_redispatch else self._count
        return used < self._resolved.route.attempts

    def _is_free_retry(self, error: errors.RequestError) -> bool:
        """Whether a retry is free because the request reached no target."""
        return (
            self._deps.dispatch.free_redispatch
            and error.executed is errors.Executed.NO
            and error.code != errors.TargetShedError.code
        )
