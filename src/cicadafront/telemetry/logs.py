"""Log lines in JSON, one per event, with a fixed prefix per part."""

import enum
import io
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


@attrs.define
class LogSettings:
    """Settings shared by all loggers of a process."""

    level: Level = Level.INFO


SETTINGS = LogSettings()


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
