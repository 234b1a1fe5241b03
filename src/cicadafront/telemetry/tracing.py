"""Spans with W3C trace context, kept in a bounded buffer per instance.

A span covers one hop: the caller's request at the entry, the stream to the
peer, the wait and run at the agent, and the exchange with the target.
"""

import collections
import random
import re
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import attrs

# A span takes about 0.5 KB, so that the kept spans stay near 10 MB.
MAX_SPANS = 20_000
# For an instance beside a single target, where memory is dear.
MAX_SIDECAR_SPANS = 1_000
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


class SpanContext(NamedTuple):
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


def _id_source() -> random.Random:
    # Ids must be unique, not secret: the system's source takes 1 us per id.
    return random.Random(random.SystemRandom().getrandbits(128))


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
    id_source: random.Random = attrs.field(factory=_id_source)
    limit: int = MAX_SPANS
    usual: Traces = attrs.field(factory=collections.OrderedDict)
    notable: Traces = attrs.field(factory=collections.OrderedDict)
    _kept: int = 0

    def start(
        self, name: str, parent: str | SpanContext = "", **fields: object
    ) -> Span:
        """Starts a span below a context or `traceparent`, or a new trace."""
        above = parse_traceparent(parent) if isinstance(parent, str) else parent
        # Zero is not a valid id.
        span_id = f"{self.id_source.getrandbits(64) or 1:016x}"
        if above is None:
            trace_id = f"{self.id_source.getrandbits(128) or 1:032x}"
            context, above_id = SpanContext(trace_id, span_id, _SAMPLED), ""
        else:
            context = SpanContext(above.trace_id, span_id, above.flags)
            above_id = above.span_id
        fields["instance"] = self.instance
        # `seconds` holds the negative start until the span ends.
        return Span(name, context, above_id, self.wall(), -self.clock(), fields)

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
        self._kept += 1
        while self._kept > self.limit:
            oldest = self.usual or self.notable
            self._kept -= len(oldest.popitem(last=False)[1])


def _is_notable(span: Span) -> bool:
    status = span.fields.get("status")
    failed = isinstance(status, int) and status >= _FIRST_SERVER_ERROR
    slow = (span.seconds or 0.0) >= SLOW_SECONDS
    return failed or slow or "code" in span.fields
