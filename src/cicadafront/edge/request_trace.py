"""Span and metrics of one request at the entry."""

import attrs

from cicadafront import errors, model
from cicadafront.edge import order, parts
from cicadafront.telemetry import tracing

OK = "ok"
CANCELLED = "cancelled"


class RequestTrace:
    """Reports one request from its head to its end.

    Attributes:
        context: Position in the trace below which the attempts are.
    """

    def __init__(self, site: parts.Parts, head: model.RequestHead):
        self._site = site
        self._began = site.clock.seconds()
        self._service = ""
        self._code = CANCELLED
        above = tracing.context_of(head.headers)
        self.continued = above is not None
        self._span = site.tracer.start("entry", above or "", method=head.method)
        self.context = self._span.context

    def request_head(self, head: model.RequestHead) -> model.RequestHead:
        """Removes the `tracestate` of a trace that was not continued."""
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

    def routed(self, wanted: order.Order) -> None:
        """Notes the route."""
        self._service = wanted.route.service
        self._span.fields.update(route=wanted.route.id, service=self._service)

    def headed(self, status: int) -> None:
        """Notes the head of the answer."""
        self._span.fields["status"] = status
        self._site.metrics.observe(
            "entry_first_byte", self._seconds(), service=self._service
        )

    def ended(self) -> None:
        """Notes that the answer is complete."""
        self._code = OK

    def failed(self, error: errors.RequestError) -> None:
        """Notes the error that the caller gets."""
        self._code = error.code
        self._span.fields.update(code=error.code, executed=error.executed.value)

    def finish(self) -> None:
        """Keeps the span and counts the request."""
        site = self._site
        if self._code == CANCELLED:
            self._span.fields["cancelled"] = True
        site.tracer.finish(self._span)
        site.metrics.count(
            "entry_requests", service=self._service, code=self._code
        )
        site.metrics.observe(
            "entry_total", self._seconds(), service=self._service
        )

    def _seconds(self) -> float:
        return self._site.clock.seconds() - self._began
