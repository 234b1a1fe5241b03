"""Spans with W3C trace context, kept in a bounded buffer per instance.

A span covers one hop: the caller's request at the entry, the stream to the
peer, the wait and run at the agent, and the exchange with the target.
"""

import collections
import random
import re
import time
from collections.abc import Callable, Iterable

import attrs

# A span takes about 0.5 KB, so that the kept spans stay near 10 MB.
MAX_SPANS = 20_000
# Bounds what a caller that reuses one trace id can fill.
MAX_SPANS_PER_TRACE = 64
# Spans that take longer are kept before others; far above the usual p99.
SLOW_SECONDS = 0.5

_TRACEPARENT = re.compile(
    r"(?!ff)[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})"
)
_SAMPLED = 1
TRACEPARENT = b"traceparent"
TRACESTATE = b"tracestate"
_FIRST_SERVER_ERROR = 500


@attrs.frozen
class SpanContext:
    """Position in a trace that travels with a request."""

    trace_id: str
    span_id: str
    flags: int = _SAMPLED

    def traceparent(self) -> str:
        """Returns the value of the `traceparent` header."""
        return f"00-{self.trace_id}-{self.span_id}-{self.flags:02x}"

    @property
    def sampled(self) -> bool:
        """Whether the spans of the trace are kept."""
        return bool(self.flags & _SAMPLED)


def parse_traceparent(value: str) -> SpanContext | None:
    """Returns the context of a `traceparent` header, or None if invalid."""
    match = _TRACEPARENT.fullmatch(value.strip())
    if match is None:
        return None
    trace_id, span_id, flags = match.groups()
    if not int(trace_id, 16) or not int(span_id, 16):
        return None
    # Version 00 defines no other flag; the rest must be sent as zero.
    return SpanContext(trace_id, span_id, int(flags, 16) & _SAMPLED)


def context_of(fields: Iterable[tuple[bytes, bytes]]) -> SpanContext | None:
    """Returns the context of a request, or None if none or broken."""
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
        parent: Id of the span above, or empty.
        start: Wall-clock start in seconds since the epoch.
        seconds: Duration, or None while it runs.
        fields: Further facts, such as the target or the error code.
    """

    name: str
    context: SpanContext
    parent: str
    start: float
    seconds: float | None = None
    fields: dict[str, object] = attrs.field(factory=dict)

    def as_json(self) -> dict[str, object]:
        """Returns the form that the operators' address serves."""
        return {
            "name": self.name,
            "trace_id": self.context.trace_id,
            "span_id": self.context.span_id,
            "parent_id": self.parent,
            "start": self.start,
            "seconds": self.seconds,
            **self.fields,
        }


Traces = collections.OrderedDict[str, list[Span]]


@attrs.define
class Tracer:
    """Creates spans and keeps them by trace within a fixed total.

    The traces of failed or slow spans are dropped last. Spans of a trace
    whose `traceparent` is not sampled are passed on, but not kept.

    Attributes:
        instance: Id of this instance, added to each span.
        clock: Monotonic time in seconds.
        wall: Wall-clock time in seconds since the epoch.
        id_source: Source of trace and span ids.
        limit: Number of spans that are kept.
        usual: Kept spans by trace id, oldest trace first.
        notable: Kept spans of traces with a failed or slow span.
    """

    instance: str
    clock: Callable[[], float]
    wall: Callable[[], float] = time.time
    id_source: random.Random = attrs.field(factory=random.SystemRandom)
    limit: int = MAX_SPANS
    usual: Traces = attrs.field(factory=collections.OrderedDict)
    notable: Traces = attrs.field(factory=collections.OrderedDict)
    _kept: int = 0

    def start(
        self, name: str, parent: str | SpanContext = "", **fields: object
    ) -> Span:
        """Starts a span below a context or `traceparent`, or a new trace."""
        above = parse_traceparent(parent) if isinstance(parent, str) else parent
        trace_id = above.trace_id if above else self._id(128)
        flags = above.flags if above else _SAMPLED
        context = SpanContext(trace_id, self._id(64), flags)
        span = Span(name, context, above.span_id if above else "", self.wall())
        span.fields.update(instance=self.instance, **fields)
        # Holds the monotonic start until the span ends.
        span.seconds = -self.clock()
        return span

    def finish(self, span: Span, **fields: object) -> None:
        """Ends a span and keeps it unless its trace is not sampled."""
        span.seconds = self.clock() + (span.seconds or 0.0)
        span.fields.update(fields)
        if span.context.sampled:
            self._keep(span)

    def trace(self, trace_id: str) -> list[Span]:
        """Returns the kept spans of a trace, in order of their start."""
        found = self.notable.get(trace_id) or self.usual.get(trace_id, [])
        return sorted(found, key=lambda span: span.start)

    def _keep(self, span: Span) -> None:
        trace_id = span.context.trace_id
        if _is_notable(span) and trace_id in self.usual:
            self.notable[trace_id] = self.usual.pop(trace_id)
        notable = _is_notable(span) or trace_id in self.notable
        chosen = self.notable if notable else self.usual
        spans = chosen.setdefault(trace_id, [])
        if len(spans) >= MAX_SPANS_PER_TRACE:
            return
        spans.append(span)
        self._kept += 1
        while self._kept > self.limit:
            oldest = self.usual or self.notable
            self._kept -= len(oldest.popitem(last=False)[1])

    def _id(self, bits: int) -> str:
        # Zero is not a valid id.
        value = self.id_source.getrandbits(bits) or 1
        return f"{value:0{bits // 4}x}"


def _is_notable(span: Span) -> bool:
    status = span.fields.get("status")
    failed = isinstance(status, int) and status >= _FIRST_SERVER_ERROR
    slow = (span.seconds or 0.0) >= SLOW_SECONDS
    return failed or slow or "code" in span.fields
