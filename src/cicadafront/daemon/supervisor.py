"""Starts, restarts and stops the components of a daemon."""

import random
import socket
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import eliot
from twisted.internet import defer, error, protocol

from cicadafront import errors


class StartError(errors.CicadafrontError):
    """A component of the daemon did not start."""

    code = "start_failed"


class Component(Protocol):
    """A component of a daemon."""

    @property
    def name(self) -> str:
        """Name in log messages."""

    def start(self) -> "defer.Deferred[None] | None":
        """Starts the component; fails or raises if it cannot run."""

    def stop(self) -> "defer.Deferred[None] | None":
        """Stops the component."""


@attrs.frozen
class FunctionComponent:
    """A component that consists of two functions.

    Attributes:
        name: Name in log messages.
        start: Starts the component.
        stop: Stops the component.
    """

    name: str
    start: Callable[[], Any]
    stop: Callable[[], Any]


class Backoff:
    """Exponential backoff with jitter between restarts, in seconds."""

    INITIAL_SECONDS = 0.1
    MAX_SECONDS = 30.0

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next_delay = self.INITIAL_SECONDS

    def delay(self) -> float:
        """Returns the delay in seconds before the next restart."""
        delay = self._next_delay * self._rng.uniform(0.5, 1.0)
        self._next_delay = min(self.MAX_SECONDS, self._next_delay * 2)
        return delay

    def reset(self) -> None:
        """Resets the delay to its initial value, after a success."""
        self._next_delay = self.INITIAL_SECONDS


class Supervisor:
    """Starts components in order and stops them in reverse order."""

    def __init__(self) -> None:
        self._components: list[Component] = []
        self._started: list[Component] = []

    def add(self, component: Component) -> None:
        """Adds a component, which starts after those added before it."""
        self._components.append(component)

    @defer.inlineCallbacks
    def start(self) -> Any:
        """Starts all components.

        Raises:
            StartError: A component did not start; those before it are stopped.
        """
        for component in self._components:
            try:
                yield defer.maybeDeferred(component.start)
            except Exception as cause:
                yield self.stop()
                raise StartError(
                    f"daemon: {component.name} did not start: {cause}"
                ) from cause
            self._started.append(component)

    @defer.inlineCallbacks
    def stop(self) -> Any:
        """Stops all started components; logs a failure to stop."""
        while self._started:
            component = self._started.pop()
            try:
                yield defer.maybeDeferred(component.stop)
            except Exception as cause:
                log(f"{component.name} did not stop: {cause}")


class Listener:
    """A TCP listener that is reopened after a failure.

    Attributes:
        name: Name in log messages.
        port: TCP port number; that of the open port after the start.
    """

    def __init__(
        self,
        name: str,
        reactor: Any,
        address: tuple[str, int],
        factory: Any,
        rng: random.Random,
        receive_bytes: int = 0,
    ):
        """Creates a listener that is not open yet.

        Args:
            name: Name in log messages.
            reactor: Reactor that listens.
            address: Host and port.
            factory: Creates the protocols of the connections.
            rng: Source of the jitter between restarts.
            receive_bytes: Receive buffer of the accepted sockets, or 0 for
                the default of the system.
        """
        self._receive_bytes = receive_bytes
        self.name = name
        self.port = address[1]
        self._reactor = reactor
        self._host = address[0]
        self._factory = _ObservedFactory(factory, self._on_listener_lost)
        self._backoff = Backoff(rng)
        self._listening_port: Any = None
        self._restart_call: Any = None

    @property
    def open(self) -> bool:
        """Whether connections are accepted."""
        return self._listening_port is not None

    def start(self) -> None:
        """Starts listening."""
        self._listening_port = self._reactor.listenTCP(
            self.port, self._factory, backlog=511, interface=self._host
        )
        if self._receive_bytes:
            # Accepted sockets inherit the size.
            self._listening_port.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
            )
        self.port = self._listening_port.getHost().port

    def stop(self) -> "defer.Deferred[None] | None":
        """Stops accepting connections; existing ones stay open."""
        if self._restart_call is not None and self._restart_call.active():
            self._restart_call.cancel()
        listening_port, self._listening_port = self._listening_port, None
        if listening_port is None:
            return None
        # Accepts pending connections, which closing the port would reset.
        listening_port.doRead()
        return defer.maybeDeferred(listening_port.stopListening)

    def _on_listener_lost(self) -> None:
        if self._listening_port is None:
            return
        self._listening_port = None
        log(f"{self.name} closed unexpectedly; reopening it.")
        self._schedule_restart()

    def _schedule_restart(self) -> None:
        delay = self._backoff.delay()
        self._restart_call = self._reactor.callLater(delay, self._restart)

    def _restart(self) -> None:
        try:
            self.start()
        except error.CannotListenError as cause:
            log(f"{self.name} could not be reopened; retrying: {cause}")
            self._schedule_restart()
        else:
            self._backoff.reset()


class _ObservedFactory(protocol.Factory):
    noisy = False

    def __init__(self, inner: protocol.Factory, on_lost: Callable[[], None]):
        self._inner = inner
        self._on_lost = on_lost

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        return self._inner.buildProtocol(addr)

    def stopFactory(self) -> None:  # noqa: N802
        self._on_lost()


def log(text: str) -> None:
    """Logs a message with the prefix `daemon:`."""
    eliot.log_message(message_type="daemon", message=f"daemon: {text}")
