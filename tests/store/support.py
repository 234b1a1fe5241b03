"""Results of Deferreds for synchronous tests."""

from typing import Any

from twisted.internet import defer
from twisted.python import failure


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
