"""Helpers for results of Deferreds and for an emulated store."""

from typing import Any

from twisted.internet import defer
from twisted.python import failure

from cicadafront.cli import loop
from cicadafront.emulator import store as emulator


def result(deferred: defer.Deferred[Any]) -> Any:
    """Returns the result of a Deferred that has fired, or raises its error."""
    seen: list[Any] = []
    deferred.addBoth(seen.append)
    if not seen:
        raise AssertionError("the Deferred has not fired yet")
    if isinstance(seen[0], failure.Failure):
        seen[0].raiseException()
    return seen[0]


def code(deferred: defer.Deferred[Any]) -> str:
    """Returns the error code of a Deferred that has fired, or `ok`."""
    try:
        result(deferred)
    except Exception as error:
        return getattr(error, "code", repr(error))
    return "ok"


def serve() -> tuple[emulator.EmulatedStore, Any, str]:
    """Serves an emulated store; returns the store, its port and its URL."""
    reactor = loop.reactor()

    def start() -> defer.Deferred[Any]:
        store = emulator.EmulatedStore(reactor)
        site = emulator.site(store)
        port = reactor.listenTCP(0, site, interface="127.0.0.1")
        return defer.succeed((store, port))

    store, port = loop.call(start)
    return store, port, f"http://127.0.0.1:{port.getHost().port}"
