"""Flow control between a transport and a stream.

At most `exchange.WINDOW_BYTES` of a body may be in flight, that is sent but not
yet forwarded by the receiver, so that no process buffers a whole body.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces
from zope.interface import implementer

from cicadafront.peer import exchange

# Reading pauses when one more read of the transport could exceed the window.
_PAUSE_AT = exchange.WINDOW_BYTES - exchange.CHUNK_BYTES


class ReadThrottle:
    """Pauses a transport while too many body bytes are in flight.

    Attributes:
        outstanding: Bytes handed to the stream that the receiver has not
            consumed yet.
        paused: Whether the transport is paused.
    """

    def __init__(self, transport: Any):
        self._transport = transport
        self.outstanding = 0
        self.paused = False

    def sent(self, count: int) -> None:
        """Records that `count` bytes were handed to the stream."""
        self.outstanding += count
        if self.outstanding > _PAUSE_AT and not self.paused:
            self.paused = True
            self._transport.pauseProducing()

    def consumed(self, count: int) -> None:
        """Records that the receiver has consumed `count` bytes."""
        self.outstanding -= count
        if self.outstanding <= _PAUSE_AT and self.paused:
            self.paused = False
            self._transport.resumeProducing()


@implementer(interfaces.IPushProducer)
class WriteTracker:
    """Reports the body bytes that a transport has accepted.

    While the transport's buffer is full, nothing is reported, so the sender
    stops after one window.

    Attributes:
        on_consumed: Called with the number of bytes accepted.
        may_hold: Returns whether this number of bytes may wait in the full
            buffer and be reported as accepted.
        on_empty: Called when a full buffer has become empty.
        held: Bytes that were written to the full buffer; kept by its writer.
        paused: Whether the buffer is full.
    """

    def __init__(self, on_consumed: Callable[[int], None]):
        self.on_consumed = on_consumed
        self.may_hold: Callable[[int], bool] = lambda held: False
        self.on_empty: Callable[[], None] = lambda: None
        self.held = 0
        self.paused = False
        self._unreported = 0

    def restart(self, on_consumed: Callable[[int], None]) -> None:
        """Resets the counter for the next body on the same transport."""
        self.on_consumed = on_consumed
        self._unreported = 0

    def wrote(self, count: int) -> None:
        """Records that `count` body bytes were written to the transport."""
        if not self.paused:
            self.on_consumed(count)
            return
        if self._unreported or not self.may_hold(self.held):
            self._unreported += count
        else:
            self.on_consumed(count)

    def pauseProducing(self) -> None:  # noqa: N802
        """Called by the transport when its buffer is full."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Called by the transport when its buffer is empty."""
        self.paused = False
        self.held = 0
        unreported, self._unreported = self._unreported, 0
        if unreported:
            self.on_consumed(unreported)
        self.on_empty()

    def stopProducing(self) -> None:  # noqa: N802
        """Called by the transport when the connection is lost."""
        self.paused = True


class ReceiveWindow:
    """Receiving side of the flow-control window of one direction."""

    # Consumed bytes are reported in batches, so that small chunks do not
    # need a window frame each.
    STEP_BYTES = exchange.WINDOW_BYTES // 4

    def __init__(self) -> None:
        self._outstanding = 0
        self._unreported = 0

    def received(self, count: int) -> bool:
        """Records received bytes; returns False if they exceed the window."""
        self._outstanding += count
        limit = exchange.WINDOW_BYTES + exchange.CHUNK_BYTES
        return self._outstanding <= limit

    def consumed(self, count: int) -> int:
        """Records consumed bytes; returns the number to report now, or 0."""
        self._outstanding -= count
        self._unreported += count
        if self._unreported < self.STEP_BYTES:
            return 0
        unreported, self._unreported = self._unreported, 0
        return unreported
