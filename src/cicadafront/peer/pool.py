"""Pool of links to other instances, opened on demand."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer, error
from twisted.python import failure

from cicadafront import errors, ports, tcp
from cicadafront.peer import exchange, failures, link

MAX_LINKS = 256
IDLE_SECONDS = 60.0
CONNECT_TIMEOUT_SECONDS = 1.0
# Time for which an instance counts as unreachable after a failed connection
# attempt, so that not every request waits for another attempt.
DOWN_SECONDS = 1.0
# Minimum time between two checks of all links.
CHECK_INTERVAL_SECONDS = 1.0


class Pool:
    """Links by instance id; implements `ports.PeerCalls`.

    Streams and calls to this instance itself run locally without a link.

    A suspect link is replaced at once, because single connections can fail
    while the path works. It carries what is open on it until that ends, or
    until the link recovers or is closed.
    """

    def __init__(
        self,
        context: link.LinkContext,
        address_of: Callable[[str], tuple[str, int] | None],
        reactor: Any,
        handlers: dict[str, ports.CallHandler],
        max_links: int = MAX_LINKS,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ):
        """Creates an empty pool.

        Args:
            context: Dependencies of the links.
            address_of: Returns the address for links of an instance, or None
                if the instance is unknown.
            reactor: Twisted reactor that opens the TCP connections.
            handlers: Call handlers by method name, shared with accepted links.
            max_links: Number of links above which the least recently used
                idle ones are closed.
            connect_seconds: Time limit of a connection attempt.
        """
        self._context = context
        self._address_of = address_of
        self._reactor = reactor
        self._handlers = handlers
        self._max_links = max_links
        self._connect_seconds = connect_seconds
        self._links: dict[str, link.Link] = {}
        # Earliest time of the next check of all links.
        self._next_check = 0.0
        # Links that get nothing new.
        self._replaced: set[link.Link] = set()
        self._down_until: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._links) + len(self._replaced)

    def open(
        self,
        instance: str,
        request: exchange.OpenRequest,
        response: exchange.ResponseSink,
    ) -> exchange.RequestSink:
        """Starts an exchange with the agent of an instance."""
        if instance == self._context.hello.instance:
            return self._context.opener.open(request, response)
        found = self._link(instance)
        if found is None:
            clock = self._context.clock
            clock.callLater(
                0, response.fail, _unreachable_error(instance), exchange.Load()
            )
            return NullRequestSink()
        return found.open(request, response)

    def call(
        self, instance: str, method: str, body: bytes, timeout: float
    ) -> defer.Deferred[bytes]:
        """Calls a method of an instance; a call to this instance runs locally.

        Args:
            instance: Id of the instance.
            method: Name of the method.
            body: Encoded request of the call.
            timeout: Time limit in seconds.

        Returns:
            The encoded reply; fails with `CallFailedError`.
        """
        if instance == self._context.hello.instance:
            return self._call_locally(method, body, timeout)
        found = self._link(instance)
        if found is None:
            message = _unreachable_error(instance).message
            return defer.fail(failures.call_error("call_failed", message))
        return found.call(method, body, timeout)

    def register(self, method: str, handler: ports.CallHandler) -> None:
        """Registers a handler; it gets the id of the calling instance."""
        self._handlers[method] = handler

    def is_down(self, instance: str) -> bool:
        """Returns whether the last connection attempt failed recently.

        This holds for `DOWN_SECONDS` after the failed attempt.
        """
        until = self._down_until.get(instance, 0.0)
        return self._context.clock.seconds() < until

    def close_idle(self, idle_seconds: float = IDLE_SECONDS) -> None:
        """Closes idle links that were not used for `idle_seconds`."""
        limit = self._context.clock.seconds() - idle_seconds
        for found in list(self._links.values()):
            if not found.busy and found.last_used <= limit:
                found.close()
        for found in list(self._replaced):
            if found.ready and not found.busy:
                found.close()

    def close(self) -> None:
        """Closes all links."""
        for found in [*self._links.values(), *self._replaced]:
            found.close()

    def _call_locally(
        self, method: str, body: bytes, timeout: float
    ) -> defer.Deferred[bytes]:
        handler = self._handlers.get(method)
        if handler is None:
            return defer.fail(failures.call_error("method_unknown", method))
        own_id = self._context.hello.instance
        result: defer.Deferred[Any] = defer.maybeDeferred(handler, own_id, body)
        clock = self._context.clock
        result.addTimeout(timeout, clock)
        return result.addErrback(_to_call_error)

    def _link(self, instance: str) -> link.Link | None:
        found = self._links.get(instance)
        if found is not None and not (found.closed or found.suspect):
            found.last_used = self._context.clock.seconds()
            return found
        address = self._address_of(instance)
        if address is None or self.is_down(instance):
            return None
        new_link = link.Link(
            self._context, instance, self._link_closed, self._link_suspected
        )
        self._use(new_link)
        self._close_surplus()
        failed = tcp.connect(
            self._reactor, address, new_link, self._connect_seconds
        )
        failed.addErrback(new_link.connectionLost)
        return new_link

    def _use(self, new: link.Link) -> None:
        """Makes a link the one for new streams and calls to its peer."""
        old = self._links.pop(new.peer, None)
        if old is not None and not old.closed:
            self._replaced.add(old)
        self._replaced.discard(new)
        self._links[new.peer] = new

    def _link_suspected(self, suspected: link.Link, late: bool) -> None:
        """Replaces a suspect link, or uses it again when it has recovered."""
        current = self._links.get(suspected.peer)
        if late:
            if current is suspected:
                self._link(suspected.peer)
            self._check_all()
        elif current is None or not current.ready:
            self._use(suspected)

    def _check_all(self) -> None:
        """Pings all peers, because links often fail together.

        Without it, each silent link would delay the first request on it.
        """
        now = self._context.clock.seconds()
        if now >= self._next_check:
            self._next_check = now + CHECK_INTERVAL_SECONDS
            for found in list(self._links.values()):
                found.check()

    def _close_surplus(self) -> None:
        surplus = len(self._links) - self._max_links
        if surplus <= 0:
            return
        newest = next(reversed(self._links))
        idle = [
            found
            for id, found in self._links.items()
            if not found.busy and id != newest
        ]
        idle.sort(key=lambda found: found.last_used)
        for found in idle[:surplus]:
            found.close()

    def _link_closed(self, closed_link: link.Link) -> None:
        peer = closed_link.peer
        self._replaced.discard(closed_link)
        if self._links.get(peer) is not closed_link:
            return
        del self._links[peer]
        self._down_until.pop(peer, None)
        if not closed_link.established:
            now = self._context.clock.seconds()
            self._down_until[peer] = now + DOWN_SECONDS
            self._context.report_path(peer, False)


class NullRequestSink:
    """Ignores the body of an exchange that has already failed."""

    def body(self, data: bytes) -> None:
        """Ignores a chunk of the body."""

    def end(self) -> None:
        """Ignores the end of the body."""

    def cancel(self) -> None:
        """Does nothing."""

    def consumed(self, count: int) -> None:
        """Does nothing."""

    def go(self) -> None:
        """Does nothing."""


@attrs.frozen
class Relay:
    """Opens streams at the local agent, or relays them to another instance.

    `relay_to` is cleared in a relayed request, so there is at most one extra
    hop.

    Attributes:
        own_id: Id of this instance.
        agent: Runs streams for this instance.
        open_at: Opens a stream at another instance.
    """

    own_id: str
    agent: exchange.Opener
    open_at: Callable[..., exchange.RequestSink]

    def open(
        self, request: exchange.OpenRequest, response: exchange.ResponseSink
    ) -> exchange.RequestSink:
        """Starts an exchange that a peer has opened."""
        if request.relay_to in ("", self.own_id):
            return self.agent.open(request, response)
        direct = attrs.evolve(request, relay_to="")
        return self.open_at(request.relay_to, direct, response)


def _unreachable_error(instance: str) -> errors.RequestError:
    return errors.LinkLostError(
        f"Instance {instance} cannot be reached from this instance; try again."
    )


def _to_call_error(reason: failure.Failure) -> failure.Failure:
    if reason.check(errors.CallFailedError):
        return reason
    cause = reason.value
    if isinstance(cause, errors.CicadafrontError):
        return failure.Failure(failures.call_error(cause.code, cause.message))
    if reason.check(error.TimeoutError, defer.TimeoutError):
        text = "The call handler of this instance did not reply in time."
        return failure.Failure(failures.call_error("call_timeout", text))
    text = "The handler failed."
    return failure.Failure(failures.call_error("internal_error", text))
