"""Results of Deferreds, and an emulated store on a port."""

from typing import Any

from twisted.internet import defer
from twisted.python import failure

from cicadafront.cli import loop
from cicadafront.emulator import store as emulator


def result(deferred: defer.Deferred[Any]) -> Any:
    """Returns the result that is there now, or raises its error."""
    seen: list[Any] = []
    deferred.addBoth(seen.append)
    if not seen:
        raise AssertionError("the result is not there yet")
    if isinstance(seen[0], failure.Failure):
        seen[0].raiseException()
    return seen[0]


def code(deferred: defer.Deferred[Any]) -> str:
    """Returns the code of the error that the Deferred has, or `ok`."""
    try:
        result(deferred)
    except Exception as error:
        return getattr(error, "code", repr(error))
    return "ok"


def serve() -> tuple[emulator.EmulatedStore, Any, str]:
    """Serves an emulated store; returns it, its port and its URL."""
    reactor = loop.reactor()

    def start() -> defer.Deferred[Any]:
        store = emulator.EmulatedStore(reactor)
        site = emulator.site(store)
        port = reactor.listenTCP(0, site, interface="127.0.0.1")
        return defer.succeed((store, port))

    store, port = loop.call(start)
    return store, port, f"http://127.0.0.1:{port.getHost().port}"
