"""A loopback TCP proxy that injects faults into open connections."""

import enum
from typing import Any

from twisted.internet import protocol

HOST = "127.0.0.1"


class Mode(enum.Enum):
    """How the proxy treats all its connections and their bytes."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    NO_ANSWERS = "no answers"
    RESET = "reset"


# Delay of each received chunk in seconds; longer than the round trip of a call,
# shorter than the timeouts of calls.
DELAY_SECONDS = 0.3


class Proxy(protocol.Factory):
    """Forwards connections to one port.

    Attributes:
        mode: The current mode.
        port: Port that it listens on.
    """

    noisy = False

    def __init__(self, reactor: Any, port: int):
        self.mode = Mode.PASS
        self.reactor = reactor
        self._upstream_port = port
        self._open: set[_Downstream] = set()
        self._listening = reactor.listenTCP(0, self, interface=HOST)
        self.port = self._listening.getHost().port

    def set_mode(self, mode: Mode) -> None:
        """Sets the mode of open and new connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for downstream in list(self._open):
                downstream.abort()

    def forget(self, answers_only: bool) -> None:
        """Drops all further bytes of the connections that are open now.

        Args:
            answers_only: Whether bytes towards the upstream still arrive.
        """
        for downstream in self._open:
            downstream.loses_answers = True
            downstream.loses_requests = not answers_only

    def close(self) -> Any:
        """Aborts all connections and stops listening."""
        for downstream in list(self._open):
            downstream.abort()
        return self._listening.stopListening()

    def buildProtocol(self, addr: Any) -> "_Downstream":  # noqa: N802
        return _Downstream(self)

    def connect(self, downstream: "_Downstream") -> None:
        """Opens the upstream side of a connection."""
        factory = _UpstreamFactory(downstream)
        self.reactor.connectTCP(HOST, self._upstream_port, factory, 2.0)

    def track(self, downstream: "_Downstream", open: bool) -> None:
        """Adds an open connection, or removes a closed one."""
        (self._open.add if open else self._open.discard)(downstream)

    def forward(self, receiver: Any, data: bytes, is_response: bool) -> None:
        """Sends bytes to one side according to the current mode."""
        match self.mode:
            case Mode.SILENT:
                return
            case Mode.NO_ANSWERS if is_response:
                return
            case Mode.DELAY:
                self.reactor.callLater(DELAY_SECONDS, _write, receiver, data)
            case _:
                _write(receiver, data)


def _write(receiver: Any, data: bytes) -> None:
    if receiver is not None and receiver.transport is not None:
        receiver.transport.write(data)


class _Downstream(protocol.Protocol):
    def __init__(self, proxy: Proxy):
        self.proxy = proxy
        self.upstream: _Upstream | None = None
        self.buffered: list[bytes] = []
        self.loses_requests = False
        self.loses_answers = False

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.track(self, True)
        if self.proxy.mode is Mode.RESET:
            self.abort()
        else:
            self.proxy.connect(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.loses_requests:
            return
        if self.upstream is None:
            self.buffered.append(data)
        else:
            self.proxy.forward(self.upstream, data, False)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.proxy.track(self, False)
        if self.upstream is not None and self.upstream.transport is not None:
            self.upstream.transport.loseConnection()

    def abort(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abortConnection()


class _Upstream(protocol.Protocol):
    def __init__(self, downstream: _Downstream):
        self.downstream = downstream

    def connectionMade(self) -> None:  # noqa: N802
        self.downstream.upstream = self
        buffered, self.downstream.buffered = self.downstream.buffered, []
        for data in buffered:
            self.downstream.proxy.forward(self, data, False)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.downstream.loses_answers:
            self.downstream.proxy.forward(self.downstream, data, True)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self.downstream.transport is not None:
            self.downstream.transport.loseConnection()


class _UpstreamFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, downstream: _Downstream):
        self.downstream = downstream

    def buildProtocol(self, addr: Any) -> _Upstream:  # noqa: N802
        return _Upstream(self.downstream)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self.downstream.abort()
