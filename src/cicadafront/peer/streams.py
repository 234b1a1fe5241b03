"""The two ends of a stream on a link."""

from typing import Protocol

from cicadafront import errors, model
from cicadafront.peer import codec, exchange, flow

_NO_LOAD = exchange.Load()


class StreamLink(Protocol):
    """Operations of a link that its streams use."""

    def send(self, frame: codec.Frame) -> None:
        """Sends a frame, or queues it until the peer's hello arrives."""

    def remove_stream(self, id: int) -> None:
        """Removes a stream that has ended from the link."""

    def drop(self, frame: codec.Frame) -> None:
        """Drops and counts a frame that no stream expects."""

    def answer_overdue(self, since: float) -> None:
        """Pings the peer at once if it has sent nothing since a time."""


def _protocol_error(violation: str) -> errors.RequestError:
    return errors.LinkLostError(
        f"The peer {violation}; check that both run compatible versions.",
        executed=errors.Executed.UNKNOWN,
    )


class _Stream:
    """Base class of both ends of a stream."""

    def __init__(self, link: StreamLink, id: int):
        self._link = link
        self._id = id
        self._receive_window = flow.ReceiveWindow()
        self._closed = False

    def body(self, data: bytes) -> None:
        """Sends body data in chunks."""
        if self._closed:
            return
        for start in range(0, len(data), exchange.CHUNK_BYTES):
            chunk = data[start : start + exchange.CHUNK_BYTES]
            self._link.send(codec.Data(self._id, chunk))

    def consumed(self, count: int) -> None:
        """Records consumed bytes and reports them to the peer in batches."""
        unreported = self._receive_window.consumed(count)
        if unreported and not self._closed:
            self._link.send(codec.Window(self._id, unreported))

    def _close(self) -> None:
        self._closed = True
        self._link.remove_stream(self._id)


class Outgoing(_Stream):
    """Stream on the side that opened it; a `RequestSink`."""

    def __init__(
        self,
        link: StreamLink,
        id: int,
        response: exchange.ResponseSink,
        opened_at: float,
        confirm: bool = False,
    ):
        """Creates the stream.

        Args:
            link: Link that carries the stream.
            id: Id of the stream on the link.
            response: Receives the response.
            opened_at: Time of the opening, in seconds.
            confirm: Whether the agent runs the request only after `go`.
        """
        super().__init__(link, id)
        self._response = response
        self._opened_at = opened_at
        self._unconfirmed = confirm
        self._head_received = False

    def end(self) -> None:
        """Marks the request body as complete."""
        if not self._closed:
            self._link.send(codec.End(self._id))

    def go(self) -> None:
        """Lets the agent run the request after `granted`."""
        if not self._closed:
            self._unconfirmed = False
            self._link.send(codec.Go(self._id))

    def cancel(self) -> None:
        """Cancels the exchange."""
        if self._closed:
            return
        error = errors.RequestError(
            "The caller cancelled the request.", code="cancelled"
        )
        self._link.send(codec.Reset(self._id, error, _NO_LOAD))
        self._link.answer_overdue(self._opened_at)
        self._close()

    def receive(self, frame: codec.Frame) -> None:
        """Handles a frame of this stream from the peer."""
        match frame:
            case codec.Head(_, head, load) if not self._head_received:
                self._head_received = True
                self._response.head(head, load)
            case codec.Data(_, data) if self._head_received:
                self._body(data)
            case codec.End() if self._head_received:
                self._close()
                self._response.end()
            case codec.Reset(_, error, load):
                self._close()
                self._response.fail(error, load)
            case codec.Window(_, count):
                self._response.consumed(count)
            case codec.Granted():
                self._response.granted()
            case codec.Head():
                self._link.drop(frame)
            case _:
                # Skipping body bytes would let a truncated response end as
                # complete.
                self._link.drop(frame)
                self.abort(_protocol_error("sent response frames out of order"))

    def lost(self, error: errors.RequestError) -> None:
        """Fails the stream because the link was lost."""
        if not self._closed:
            self._close()
            self._response.fail(error, _NO_LOAD)

    def link_suspected(self, error: errors.RequestError) -> None:
        """Fails the stream if its request has certainly not run.

        Args:
            error: Error of the request.
        """
        if self._unconfirmed:
            self.abort(error)
        elif not self._closed:
            self._response.path_suspected()

    def _body(self, data: bytes) -> None:
        if self._receive_window.received(len(data)):
            self._response.body(data)
        else:
            self.abort(
                _protocol_error("sent more than the flow-control window")
            )

    def abort(self, error: errors.RequestError) -> None:
        """Ends the stream on both sides with an error."""
        if not self._closed:
            self.cancel()
            self._response.fail(error, _NO_LOAD)


class Incoming(_Stream):
    """Stream on the side that runs the request; a `ResponseSink`."""

    def __init__(self, link: StreamLink, id: int):
        super().__init__(link, id)
        self._request: exchange.RequestSink | None = None
        self._ended = False

    def attach(self, request: exchange.RequestSink) -> None:
        """Sets the sink that receives the request body."""
        self._request = request

    def granted(self) -> None:
        """Reports to the peer that the request has a slot."""
        if not self._closed:
            self._link.send(codec.Granted(self._id))

    def head(self, head: model.ResponseHead, load: exchange.Load) -> None:
        """Sends the head of the response."""
        if not self._closed:
            self._link.send(codec.Head(self._id, head, load))

    def end(self) -> None:
        """Marks the response as complete."""
        if not self._closed:
            self._link.send(codec.End(self._id))
            self._close()

    def fail(self, error: errors.RequestError, load: exchange.Load) -> None:
        """Ends the stream with an error."""
        if not self._closed:
            self._link.send(codec.Reset(self._id, error, load))
            self._close()

    def receive(self, frame: codec.Frame) -> None:
        """Handles a frame of this stream from the peer."""
        request = self._request
        if request is None:
            self._link.drop(frame)
            return
        match frame:
            case codec.Data(_, data) if not self._ended:
                self._body(request, data)
            case codec.End() if not self._ended:
                self._ended = True
                request.end()
            case codec.Window(_, count):
                request.consumed(count)
            case codec.Go():
                request.go()
            case codec.Reset():
                self._close()
                request.cancel()
            case _:
                self._link.drop(frame)

    def path_suspected(self) -> None:
        """Does nothing; only the entry sends a request to another agent."""

    def lost(self, error: errors.RequestError) -> None:
        """Cancels the exchange because the link was lost."""
        if not self._closed:
            self._close()
            if self._request is not None:
                self._request.cancel()

    def _body(self, request: exchange.RequestSink, data: bytes) -> None:
        if self._receive_window.received(len(data)):
            request.body(data)
            return
        self.abort(_protocol_error("sent more than the flow-control window"))

    def abort(self, error: errors.RequestError) -> None:
        """Ends the stream on both sides with an error."""
        self.fail(error, _NO_LOAD)
        if self._request is not None:
            self._request.cancel()
