"""Tracing spans and metrics of one request at the agent."""

from cicadafront.peer import exchange
from cicadafront.telemetry import logs, metrics, tracing

_log = logs.Log("agent")

OK = "ok"
CANCELLED = "cancelled"


class RunTrace:
    """Spans of the wait in the queue, the run and the target exchange."""

    def __init__(
        self,
        tracer: tracing.Tracer,
        values: metrics.Metrics,
        request: exchange.OpenRequest,
    ):
        self._tracer = tracer
        self._metrics = values
        self._service = request.service
        self._target = request.target
        self._arrivals = request.arrivals
        self._parent = tracing.parse_traceparent(request.traceparent) or ""
        self._open_spans = [self._start("queue", self._parent)]
        self._started_at = tracer.clock()
        self._status = 0

    def _start(
        self, name: str, parent: str | tracing.SpanContext
    ) -> tracing.Span:
        return self._tracer.start(name, parent, target=self._target)

    def granted(self) -> None:
        """Ends the queue span when the request gets a slot."""
        queue = self._open_spans.pop()
        self._tracer.finish(queue)
        # A request without a trace context starts a new trace here, which all
        # its spans share.
        self._parent = self._parent or queue.context
        self._open_spans.append(self._start("run", self._parent))
        self._metrics.observe(
            "agent_queue_wait", queue.seconds or 0.0, service=self._service
        )

    def handed_over(self, exchange_id: bytes) -> str:
        """Starts the target span; returns its `traceparent`."""
        kind = "repeat" if self._arrivals else "first"
        self._metrics.count("agent_arrivals", service=self._service, kind=kind)
        if self._arrivals:
            _log.info(
                "a repeated request reaches a target.",
                request=exchange_id.decode("latin-1"),
                service=self._service,
                target=self._target,
                arrivals=self._arrivals,
            )
        span = self._start("target", self._open_spans[0].context)
        self._open_spans.append(span)
        return span.context.traceparent()

    def head_received(self, status: int) -> None:
        """Records the head of the target's response."""
        self._status = status
        self._metrics.observe(
            "agent_first_byte",
            self._tracer.clock() - self._started_at,
            service=self._service,
        )

    def finish(self, code: str) -> None:
        """Ends the open spans.

        Args:
            code: `ok`, `cancelled` or an error code.
        """
        fields: dict[str, object] = {}
        if self._status:
            fields["status"] = self._status
        if code == CANCELLED:
            fields["cancelled"] = True
        elif code != OK:
            fields["code"] = code
        while self._open_spans:
            self._tracer.finish(self._open_spans.pop(), **fields)
        self._metrics.count("agent_requests", service=self._service, code=code)
        self._metrics.observe(
            "agent_total",
            self._tracer.clock() - self._started_at,
            service=self._service,
        )

    def target_failed(self, kind: str) -> None:
        """Counts a failure of the target by its kind."""
        self._metrics.count(
            "agent_target_failures", service=self._service, kind=kind
        )
