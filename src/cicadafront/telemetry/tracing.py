"""Spans with W3C trace context, kept in a bounded buffer per instance.

A span covers one hop: the caller's request at the entry, the stream to the
peer, the wait and run at the agent, and the exchange with the target.
"""

import collections
import random
import re
import time
from collections.abc import Callable

import attrs

# Spans older than the newest of this number are dropped.
MAX_SPANS = 20_000

_TRACEPARENT = re.compile(
    r"(?!ff)[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})"
)
_SAMPLED = 1


@attrs.frozen
class SpanContext:
    """Position in a trace that travels with a request."""

    trace_id: str
    span_id: str
    flags: int = _SAMPLED

    def traceparent(self) -> str:
        """Returns the value of the `traceparent` header."""
        return f"00-{self.trace_id}-{self.span_id}-{self.flags:02x}"


def parse_traceparent(value: str) -> SpanContext | None:
    """Returns the context of a `traceparent` header, or None if invalid."""
    match = _TRACEPARENT.fullmatch(value.strip())
    if match is None:
        return None
    trace_id, span_id, flags = match.groups()
    if not int(trace_id, 16) or not int(span_id, 16):
        return None
    return SpanContext(trace_id, span_id, int(flags, 16))


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


@attrs.define
class Tracer:
    """Creates spans and keeps the newest ones.

    Attributes:
        instance: Id of this instance, added to each span.
        clock: Monotonic time in seconds.
        wall: Wall-clock time in seconds since the epoch.
        id_source: Source of trace and span ids.
        spans: Finished spans, oldest first.
    """

    instance: str
    clock: Callable[[], float]
    wall: Callable[[], float] = time.time
    id_source: random.Random = attrs.field(factory=random.SystemRandom)
    spans: collections.deque[Span] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SPANS)
    )

    def start(self, name: str, parent: str = "", **fields: object) -> Span:
        """Starts a span below the `traceparent` value, or a new trace."""
        above = parse_traceparent(parent) if parent else None
        trace_id = above.trace_id if above else self._id(128)
        flags = above.flags if above else _SAMPLED
        context = SpanContext(trace_id, self._id(64), flags)
        span = Span(name, context, above.span_id if above else "", self.wall())
        span.fields.update(instance=self.instance, **fields)
        # Holds the monotonic start until the span ends.
        span.seconds = -self.clock()
        return span

    def finish(self, span: Span, **fields: object) -> None:
        """Ends a span and keeps it."""
        span.seconds = self.clock() + (span.seconds or 0.0)
        span.fields.update(fields)
        self.spans.append(span)

    def trace(self, trace_id: str) -> list[Span]:
        """Returns the kept spans of a trace, in order of their start."""
        found = [s for s in self.spans if s.context.trace_id == trace_id]
        return sorted(found, key=lambda span: span.start)

    def _id(self, bits: int) -> str:
        # Zero is not a valid id.
        value = self.id_source.getrandbits(bits) or 1
        return f"{value:0{bits // 4}x}"
