"""Log lines in JSON, one per event, with a fixed prefix per part."""

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
    """Importance of a log line."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


# Lines of one text that a process writes: a fault that touches every request
# must not turn into a load of its own.
LINES_PER_SECOND = 20.0
LINES_AT_ONCE = 60.0
# Texts with a budget of their own; the rest shares one.
MAX_TEXTS = 200
# Bytes of one line that the reader has not taken yet.
MAX_PENDING_BYTES = 64 * 1024


@attrs.define
class LogSettings:
    """Settings shared by all loggers of a process."""

    level: Level = Level.INFO


SETTINGS = LogSettings()


@attrs.define
class _Budget:
    left: float
    at: float
    suppressed: int = 0


class LineLimiter:
    """Bounds the lines of each text.

    Attributes:
        clock: Monotonic time in seconds.
        dropped: Lines that were suppressed, in total.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.dropped = 0
        self._budgets: dict[str, _Budget] = {}

    def take(self, text: str) -> int | None:
        """Takes one line out of the budget of a text.

        Returns:
            The number of lines suppressed since the last one, or None if
            this line is suppressed as well.
        """
        if text not in self._budgets and len(self._budgets) >= MAX_TEXTS:
            text = ""
        now = self.clock()
        budget = self._budgets.setdefault(text, _Budget(LINES_AT_ONCE, now))
        earned = max(0.0, now - budget.at) * LINES_PER_SECOND
        budget.left = min(LINES_AT_ONCE, budget.left + earned)
        budget.at = now
        if budget.left < 1:
            budget.suppressed += 1
            self.dropped += 1
            return None
        budget.left -= 1
        suppressed, budget.suppressed = budget.suppressed, 0
        return suppressed


LINE_LIMITER = LineLimiter()


class Pipe:
    """File that never blocks: what the reader does not take is dropped.

    Attributes:
        dropped: Lines that were dropped.
    """

    def __init__(self, descriptor: int):
        self.dropped = 0
        self._descriptor = descriptor
        self._rest = b""
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> int:
        """Writes one line, or drops it."""
        try:
            while self._rest:
                self._rest = self._rest[self._send(self._rest) :]
            sent = self._send(line)
        except BlockingIOError:
            self.dropped += 1
            return len(line)
        except OSError:
            # The reader is gone; requests are served all the same.
            self.dropped += 1
            return len(line)
        self._rest = line[sent:]
        return len(line)

    def flush(self) -> None:
        """Does nothing: every line is sent at once."""

    def _send(self, data: bytes) -> int:
        return os.write(self._descriptor, data[:MAX_PENDING_BYTES])


@attrs.frozen
class Log:
    """Logger of one part.

    Attributes:
        part: Name of the part; each line starts with it and a colon.
    """

    part: str

    def debug(self, text: str, **fields: object) -> None:
        """Logs detail that is off by default."""
        self.write(Level.DEBUG, text, fields)

    def info(self, text: str, **fields: object) -> None:
        """Logs a normal event."""
        self.write(Level.INFO, text, fields)

    def warning(self, text: str, **fields: object) -> None:
        """Logs an event that an operator may have to look at."""
        self.write(Level.WARNING, text, fields)

    def error(self, text: str, **fields: object) -> None:
        """Logs an event that needs an operator."""
        self.write(Level.ERROR, text, fields)

    def write(self, level: Level, text: str, fields: dict) -> None:
        """Writes one line unless its level is off."""
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
    """Sends the log lines of this process to a pipe, without blocking.

    Args:
        descriptor: Descriptor of the pipe.
        instance: Id of this instance, added to each line.
        level: Lowest level that is written.
    """
    SETTINGS.level = level
    eliot.add_global_fields(instance=instance)
    pipe = Pipe(descriptor)
    eliot.to_file(pipe, json_default=_encode)
    return pipe


def start(stream: IO[str], instance: str, level: Level) -> None:
    """Sends the log lines of this process to a stream.

    Args:
        stream: Text stream that takes the JSON lines.
        instance: Id of this instance, added to each line.
        level: Lowest level that is written.
    """
    SETTINGS.level = level
    eliot.add_global_fields(instance=instance)
    binary = getattr(stream, "buffer", None)
    target = binary if isinstance(binary, io.BufferedIOBase) else stream
    eliot.to_file(target, json_default=_encode)
