"""Flow control between a transport and a stream.

A stream carries at most `WINDOW_BYTES` of body ahead of what its receiver has
passed on, so that no process holds a whole body in memory.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces
from zope.interface import implementer

from cicadafront.peer import exchange

# A source pauses while one more read of its transport could exceed the window.
_PAUSE_AT = exchange.WINDOW_BYTES - exchange.CHUNK_BYTES


class ReadThrottle:
    """Reads a body from a transport only as fast as it is passed on."""

    def __init__(self, transport: Any):
        self._transport = transport
        self.outstanding = 0
        self.paused = False

    def sent(self, count: int) -> None:
        """Notes bytes handed to the stream."""
        self.outstanding += count
        if self.outstanding > _PAUSE_AT and not self.paused:
            self.paused = True
            self._transport.pauseProducing()

    def consumed(self, count: int) -> None:
        """Notes bytes that the receiver has passed on."""
        self.outstanding -= count
        if self.outstanding <= _PAUSE_AT and self.paused:
            self.paused = False
            self._transport.resumeProducing()


@implementer(interfaces.IPushProducer)
class WriteTracker:
    """Writes a body to a transport and reports what it has taken.

    While the transport's buffer is full, nothing is reported, which stops the
    sender after one window.

    Attributes:
        on_consumed: Receives the number of bytes passed on.
    """

    def __init__(self, on_consumed: Callable[[int], None]):
        self.on_consumed = on_consumed
        self._paused = False
        self._unreported = 0

    def restart(self, on_consumed: Callable[[int], None]) -> None:
        """Serves the next body on the same transport."""
        self.on_consumed = on_consumed
        self._unreported = 0

    def wrote(self, count: int) -> None:
        """Notes body bytes written to the transport."""
        if self._paused:
            self._unreported += count
        else:
            self.on_consumed(count)

    def pauseProducing(self) -> None:  # noqa: N802
        """Called by the transport when its buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Called by the transport when its buffer is empty."""
        self._paused = False
        unreported, self._unreported = self._unreported, 0
        if unreported:
            self.on_consumed(unreported)

    def stopProducing(self) -> None:  # noqa: N802
        """Called by the transport when the connection is lost."""
        self._paused = True


class ReceiveWindow:
    """Counts the body bytes that one direction of a stream received."""

    # Windows are reported in steps, so that small pieces cost no frame each.
    STEP_BYTES = exchange.WINDOW_BYTES // 4

    def __init__(self) -> None:
        self._outstanding = 0
        self._unreported = 0

    def received(self, count: int) -> bool:
        """Notes received bytes; returns False if they exceed the window."""
        self._outstanding += count
        limit = exchange.WINDOW_BYTES + exchange.CHUNK_BYTES
        return self._outstanding <= limit

    def consumed(self, count: int) -> int:
        """Notes bytes passed on and returns how many to report, or 0."""
        self._outstanding -= count
        self._unreported += count
        if self._unreported < self.STEP_BYTES:
            return 0
        unreported, self._unreported = self._unreported, 0
        return unreported
