"""TCP transport of a connection to a target."""

import errno
from typing import Any

from twisted.internet import error, tcp
from twisted.python import failure


class TargetTransport(tcp.Client):
    """Ends a connection only once everything received has been read.

    A target may respond and close before it has read the whole request.
    Twisted drops the unread part of the response when a write fails, or when
    the poller reports a hang-up while reading is paused. If reading is resumed
    before the hang-up is handled, it reports even a reset as a clean close,
    and a truncated response without a length looks complete.
    """

    _paused = False
    # False after a failed write or a hang-up; further data is discarded.
    _sending = True
    _hung_up = False
    _read_ended = False
    # Whether a failed write has shown a reset, which reading no longer shows.
    _reset = False

    def pauseProducing(self) -> None:  # noqa: N802
        """Pauses reading."""
        self._paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resumes reading."""
        self._paused = False
        super().resumeProducing()

    def write(self, data: bytes) -> None:
        """Writes data unless the target has stopped receiving."""
        if self._sending:
            super().write(data)

    def writeSomeData(  # noqa: N802
        self, data: bytes
    ) -> int | error.ConnectionLost:
        """Sends a part of the data; an error only ends the sending."""
        if not self._sending:
            return len(data)
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as failed:
            if failed.errno in (errno.EWOULDBLOCK, errno.ENOBUFS):
                return 0
            # EPIPE means that the target had ended its response before.
            self._reset = failed.errno != errno.EPIPE
            self._sending = False
            return len(data)

    def doRead(self, *args: Any, **kwargs: Any) -> Any:  # noqa: N802
        """Reads once, and records whether the connection has ended."""
        reason = super().doRead(*args, **kwargs)
        self._read_ended = reason is not None
        return reason

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Ends the connection, or goes on reading after a hang-up."""
        if self._may_have_unread_data(reason):
            self._hang_up()
            return
        if self._reset and reason.check(error.ConnectionDone):
            reason = failure.Failure(error.ConnectionLost())
        super().connectionLost(reason)

    def _may_have_unread_data(self, reason: failure.Failure) -> bool:
        if self._read_ended or self._hung_up or not self.connected:
            return False
        # `ConnectionAborted`, a subclass, means that this side has aborted.
        return reason.type in (error.ConnectionDone, error.ConnectionLost)

    def _hang_up(self) -> None:
        """Discards what is left to send, and reads on unless paused."""
        self._hung_up = True
        self._sending = False
        while self.dataBuffer or self._tempDataBuffer:
            self.doWrite()
        if not self._paused:
            self.startReading()


class Connector(tcp.Connector):
    """Opens a connection with a `TargetTransport`."""

    def _makeTransport(self) -> TargetTransport:  # noqa: N802
        return TargetTransport(
            self.host, self.port, self.bindAddress, self, self.reactor
        )
