"""Span, metrics and log line of one request at the edge."""

import attrs

from cicadafront import errors, headers, model
from cicadafront.edge import dependencies, resolved_request
from cicadafront.telemetry import logs, tracing

# Largest number of attempts in the log line of a request.
MAX_LOGGED_ATTEMPTS = 16

_log = logs.Log("entry")

OK = "ok"
CANCELLED = "cancelled"
_SERVER_ERROR = 500


class RequestTrace:
    """Reports one request from its head to its end.

    Attributes:
        context: Span context that is the parent of the attempts' spans.
        asked: Target, outcome and time of each attempt. The time is counted
            in milliseconds from the start of the request.
        continued: Whether the request continues a trace of the caller.
    """

    def __init__(
        self, deps: dependencies.Dependencies, head: model.RequestHead
    ):
        self._deps = deps
        self._started_at = deps.clock.seconds()
        self._service = ""
        self._code = CANCELLED
        self._id = headers.value_of(
            head.headers, deps.wire_dialect.exchange_id_name
        ).decode("latin-1")
        self._status = 0
        self._error: errors.RequestError | None = None
        self._route = ""
        self._account = ""
        self.asked: list[str] = []
        self._phase = ""
        self._attempt_states: list[str] = []
        parent = tracing.context_of(head.headers)
        self.continued = parent is not None
        self._span = deps.tracer.start(
            "entry", parent or "", method=head.method
        )
        self.context = self._span.context

    def request_head(self, head: model.RequestHead) -> model.RequestHead:
        """Returns the head, without `tracestate` if the trace is a new one."""
        if self.continued:
            return head
        kept = tuple(
            (name, value)
            for name, value in head.headers
            if name.lower() != tracing.TRACESTATE
        )
        if len(kept) == len(head.headers):
            return head
        return attrs.evolve(head, headers=kept)

    def record_route(self, resolved: resolved_request.ResolvedRequest) -> None:
        """Records the route."""
        self._service = resolved.service
        self._route = resolved.route.id
        self._account = resolved.account_id
        self._span.fields.update(route=resolved.route.id, service=self._service)

    def record_attempt(self, target: str, outcome: str) -> None:
        """Records the outcome of one attempt."""
        if len(self.asked) < MAX_LOGGED_ATTEMPTS:
            millis = round(self._seconds() * 1000)
            self.asked.append(f"{target} {outcome} {millis}ms")

    def record_head(self, status: int) -> None:
        """Records the response head."""
        self._status = status
        self._span.fields["status"] = status
        self._deps.metrics.observe(
            "entry_first_byte", self._seconds(), service=self._service
        )

    def record_cancellation(
        self, phase: str, attempt_states: list[str]
    ) -> None:
        """Records the state of a request that ends without a response.

        Args:
            phase: Phase of the exchange.
            attempt_states: State of each attempt in flight.
        """
        self._phase = phase
        self._attempt_states = attempt_states

    def record_completion(self) -> None:
        """Records that the response is complete."""
        self._code = OK

    def record_error(self, error: errors.RequestError) -> None:
        """Records the error that the caller gets."""
        self._code = error.code
        self._error = error
        self._span.fields.update(code=error.code, executed=error.executed.value)

    def finish(self) -> None:
        """Finishes the span, counts the request and logs a failure."""
        deps = self._deps
        if self._code == CANCELLED:
            self._span.fields["cancelled"] = True
        deps.tracer.finish(self._span)
        if self._code != OK or self._status >= _SERVER_ERROR:
            self._log_failure()
        deps.metrics.count(
            "entry_requests", service=self._service, code=self._code
        )
        deps.metrics.observe(
            "entry_total", self._seconds(), service=self._service
        )

    def _log_failure(self) -> None:
        """Logs why the request got no successful response."""
        error = self._error
        _log.info(
            "a request got no good answer.",
            request=self._id,
            route=self._route,
            service=self._service,
            account=self._account,
            code=self._code,
            status=error.status if error else self._status,
            executed=error.executed.value if error else "",
            reason=error.message if error else "",
            seconds=round(self._seconds(), 4),
            asked=self.asked,
            phase=self._phase,
            standing=self._attempt_states,
            **self._evacuations(),
        )

    def _evacuations(self) -> dict[str, list[str]]:
        """Returns the evacuated data centres as a field, if there are any."""
        found = self._deps.eligibility().evacuated
        return {"evacuated": sorted(found)} if found else {}

    def _seconds(self) -> float:
        return self._deps.clock.seconds() - self._started_at
