"""JSON log lines, one per event, each with the prefix of its component.

The lines of each text are rate limited. `Pipe` drops the lines that its reader
does not accept, so that logging does not block the process.
"""

import enum
import io
import os
import time
from collections.abc import Callable
from typing import IO

import attrs
import eliot
import eliot.json


class Level(enum.IntEnum):
    """Severity of a log line."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


# Rate limit of the lines with the same text, per process. Without it, the log
# lines of a fault that affects every request would cause load of their own.
LINES_PER_SECOND = 20.0
LINES_BURST = 60.0
# Number of texts with their own rate limit. All other texts share one limit.
MAX_TEXTS = 200
# Maximum bytes of one line written to the pipe at a time.
MAX_PENDING_BYTES = 64 * 1024


@attrs.define
class LogSettings:
    """Settings shared by all loggers of a process.

    Attributes:
        level: Minimum severity that is logged.
    """

    level: Level = Level.INFO


SETTINGS = LogSettings()


@attrs.define
class _TokenBucket:
    tokens: float
    updated_at: float
    suppressed: int = 0


class LineLimiter:
    """Rate limiter with a token bucket for each text of a log line.

    Attributes:
        clock: Returns the monotonic time in seconds.
        dropped: Total number of suppressed lines.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.dropped = 0
        self._buckets: dict[str, _TokenBucket] = {}

    def take(self, text: str) -> int | None:
        """Takes one token from the bucket of a text.

        Returns:
            The number of lines suppressed since the last written line, or
            None if this line is suppressed too.
        """
        if text not in self._buckets and len(self._buckets) >= MAX_TEXTS:
            text = ""
        now = self.clock()
        bucket = self._buckets.setdefault(text, _TokenBucket(LINES_BURST, now))
        refill = max(0.0, now - bucket.updated_at) * LINES_PER_SECOND
        bucket.tokens = min(LINES_BURST, bucket.tokens + refill)
        bucket.updated_at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            self.dropped += 1
            return None
        bucket.tokens -= 1
        suppressed, bucket.suppressed = bucket.suppressed, 0
        return suppressed


LINE_LIMITER = LineLimiter()


class Pipe:
    """Non-blocking file that drops the lines that the reader does not accept.

    Attributes:
        dropped: Number of dropped lines.

    Args:
        descriptor: Descriptor of the pipe.
    """

    def __init__(self, descriptor: int):
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = b""
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> int:
        """Writes one line, or drops it if the pipe is full or closed."""
        try:
            while self._pending:
                self._pending = self._pending[self._send(self._pending) :]
            sent = self._send(line)
        except BlockingIOError:
            self.dropped += 1
            return len(line)
        except OSError:
            # The reader has closed the pipe. Requests are served regardless.
            self.dropped += 1
            return len(line)
        self._pending = line[sent:]
        return len(line)

    def flush(self) -> None:
        """Does nothing, because lines are written immediately."""

    def _send(self, data: bytes) -> int:
        return os.write(self._descriptor, data[:MAX_PENDING_BYTES])


@attrs.frozen
class Log:
    """Logger of one component.

    Attributes:
        part: Name of the component, which prefixes each text with a colon.
    """

    part: str

    def debug(self, text: str, **fields: object) -> None:
        """Logs details, which are disabled by default."""
        self.write(Level.DEBUG, text, fields)

    def info(self, text: str, **fields: object) -> None:
        """Logs a normal event."""
        self.write(Level.INFO, text, fields)

    def warning(self, text: str, **fields: object) -> None:
        """Logs an event that may need an operator's attention."""
        self.write(Level.WARNING, text, fields)

    def error(self, text: str, **fields: object) -> None:
        """Logs an event that needs an operator's attention."""
        self.write(Level.ERROR, text, fields)

    def write(self, level: Level, text: str, fields: dict) -> None:
        """Writes one line unless its level or the rate limit suppresses it."""
        if level < SETTINGS.level:
            return
        suppressed = LINE_LIMITER.take(f"{self.part}:{text}")
        if suppressed is None:
            return
        if suppressed:
            fields = {**fields, "suppressed_before": suppressed}
        eliot.log_message(
            message_type=f"cicadafront:{self.part}",
            level=level.name.lower(),
            text=f"{self.part}: {text}",
            **fields,
        )


def _encode(value: object) -> object:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, enum.Enum):
        return value.value
    return str(value)


def start_pipe(descriptor: int, instance: str, level: Level) -> Pipe:
    """Starts writing log lines to a pipe without blocking.

    Args:
        descriptor: Descriptor of the pipe.
        instance: Id of this instance, added to each line.
        level: Minimum severity that is written.

    Returns:
        The pipe, which counts the dropped lines.
    """
    SETTINGS.level = level
    eliot.add_global_fields(instance=instance)
    pipe = Pipe(descriptor)
    eliot.to_file(pipe, json_default=_encode)
    return pipe


def start(stream: IO[str], instance: str, level: Level) -> None:
    """Starts writing log lines to a stream.

    Args:
        stream: Text stream for the JSON lines.
        instance: Id of this instance, added to each line.
        level: Minimum severity that is written.
    """
    SETTINGS.level = level
    eliot.add_global_fields(instance=instance)
    binary = getattr(stream, "buffer", None)
    target = binary if isinstance(binary, io.BufferedIOBase) else stream
    eliot.to_file(target, json_default=_encode)
