"""Spans with W3C trace context, stored in a bounded buffer per instance.

A span covers one hop: the caller's request at the entry, the stream to the
peer, queueing and execution at the agent, and the exchange with the target.
"""

import collections
import random
import re
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import attrs

# A span takes about 0.5 KB, so that the stored spans take about 10 MB.
MAX_SPANS = 20_000
# Limit for a sidecar, which serves a single target and has to save memory.
MAX_SIDECAR_SPANS = 1_000
# Limits the memory that a caller can fill by reusing one trace id.
MAX_SPANS_PER_TRACE = 64
# Spans that take at least this long are evicted last. It is far above the usual
# p99 latency.
SLOW_SECONDS = 0.5

_TRACEPARENT = re.compile(
    r"(?!ff)[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})"
)
_SAMPLED = 1
TRACEPARENT = b"traceparent"
TRACESTATE = b"tracestate"
_FIRST_SERVER_ERROR = 500


class SpanContext(NamedTuple):
    """Trace context that is propagated with a request."""

    trace_id: str
    span_id: str
    flags: int = _SAMPLED

    def traceparent(self) -> str:
        """Returns the value of the `traceparent` header."""
        return f"00-{self.trace_id}-{self.span_id}-{self.flags:02x}"

    @property
    def sampled(self) -> bool:
        """Whether the spans of the trace are stored."""
        return bool(self.flags & _SAMPLED)


def parse_traceparent(value: str) -> SpanContext | None:
    """Parses a `traceparent` header; returns None if it is invalid."""
    match = _TRACEPARENT.fullmatch(value.strip())
    if match is None:
        return None
    trace_id, span_id, flags = match.groups()
    if not int(trace_id, 16) or not int(span_id, 16):
        return None
    # Version 00 defines no other flag; undefined flags must be sent as zero.
    return SpanContext(trace_id, span_id, int(flags, 16) & _SAMPLED)


def context_of(fields: Iterable[tuple[bytes, bytes]]) -> SpanContext | None:
    """Returns the trace context of a request's headers.

    Returns:
        None if there is no `traceparent` header, more than one, or an invalid
        one.
    """
    found = [value for name, value in fields if name.lower() == TRACEPARENT]
    if len(found) != 1:
        return None
    return parse_traceparent(found[0].decode("latin-1"))


@attrs.define
class Span:
    """One hop of one request.

    Attributes:
        name: Kind of hop.
        context: Trace id and id of this span.
        parent: Id of the parent span, or empty.
        start: Start time in seconds since the epoch.
        seconds: Duration once the span has ended; None or negative before.
        fields: Further attributes, such as the target or the error code.
    """

    name: str
    context: SpanContext
    parent: str
    start: float
    seconds: float | None = None
    fields: dict[str, object] = attrs.field(factory=dict)

    def as_json(self) -> dict[str, object]:
        """Returns the representation for the operators' endpoint."""
        return {
            "name": self.name,
            "trace_id": self.context.trace_id,
            "span_id": self.context.span_id,
            "parent_id": self.parent,
            "start": self.start,
            "seconds": self.seconds,
            **self.fields,
        }


def _id_source() -> random.Random:
    # Ids must be unique but need not be secret. The random source of the system
    # is used for the seed only, since it takes 1 us per id.
    return random.Random(random.SystemRandom().getrandbits(128))


Traces = collections.OrderedDict[str, list[Span]]


@attrs.define
class Tracer:
    """Creates spans and stores a limited number of them by trace.

    Traces with a failed or slow span are evicted last. The context of a trace
    that is not sampled is propagated, but its spans are not stored.

    Attributes:
        instance: Id of this instance, added to each span.
        clock: Returns the monotonic time in seconds.
        wall: Returns the wall-clock time in seconds since the epoch.
        id_source: Random source of trace and span ids.
        limit: Maximum number of stored spans.
        usual: Stored spans by trace id, oldest trace first.
        notable: Stored spans of the traces with a failed or slow span.
    """

    instance: str
    clock: Callable[[], float]
    wall: Callable[[], float] = time.time
    id_source: random.Random = attrs.field(factory=_id_source)
    limit: int = MAX_SPANS
    usual: Traces = attrs.field(factory=collections.OrderedDict)
    notable: Traces = attrs.field(factory=collections.OrderedDict)
    _span_count: int = 0

    def start(
        self, name: str, parent: str | SpanContext = "", **fields: object
    ) -> Span:
        """Starts a span.

        Args:
            name: Kind of hop.
            parent: Context of the parent span, as an object or a `traceparent`
                value. Without a valid one, the span starts a new trace.
            **fields: Attributes of the span.
        """
        parent_context = (
            parse_traceparent(parent) if isinstance(parent, str) else parent
        )
        # A zero id is invalid.
        span_id = f"{self.id_source.getrandbits(64) or 1:016x}"
        if parent_context is None:
            trace_id = f"{self.id_source.getrandbits(128) or 1:032x}"
            context, parent_id = SpanContext(trace_id, span_id, _SAMPLED), ""
        else:
            context = SpanContext(
                parent_context.trace_id, span_id, parent_context.flags
            )
            parent_id = parent_context.span_id
        fields["instance"] = self.instance
        # `seconds` holds the negative start until the span ends.
        return Span(
            name, context, parent_id, self.wall(), -self.clock(), fields
        )

    def finish(self, span: Span, **fields: object) -> None:
        """Ends a span and stores it if its trace is sampled."""
        span.seconds = self.clock() + (span.seconds or 0.0)
        span.fields.update(fields)
        if span.context.sampled:
            self._keep(span)

    def trace(self, trace_id: str) -> list[Span]:
        """Returns the stored spans of a trace, ordered by start time."""
        found = self.notable.get(trace_id) or self.usual.get(trace_id, [])
        return sorted(found, key=lambda span: span.start)

    def _keep(self, span: Span) -> None:
        trace_id = span.context.trace_id
        spans = self.notable.get(trace_id)
        if spans is None and _is_notable(span):
            spans = self.usual.pop(trace_id, [])
            self.notable[trace_id] = spans
        elif spans is None:
            spans = self.usual.get(trace_id)
            if spans is None:
                spans = self.usual[trace_id] = []
        if len(spans) >= MAX_SPANS_PER_TRACE:
            return
        spans.append(span)
        self._span_count += 1
        while self._span_count > self.limit:
            oldest = self.usual or self.notable
            self._span_count -= len(oldest.popitem(last=False)[1])


def _is_notable(span: Span) -> bool:
    status = span.fields.get("status")
    failed = isinstance(status, int) and status >= _FIRST_SERVER_ERROR
    slow = (span.seconds or 0.0) >= SLOW_SECONDS
    return failed or slow or "code" in span.fields
