"""Runs asynchronous calls from the synchronous command line."""

import threading
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet import defer, threads

T = TypeVar("T")

_lock = threading.Lock()


def reactor() -> Any:
    """Returns the reactor, running in a thread of its own.

    A reactor cannot be started twice in a process; in a thread it serves any
    number of calls and the main thread stays open to Ctrl-C.
    """
    from twisted.internet import reactor as installed

    running: Any = installed
    with _lock:
        if not running.running:
            started = threading.Event()
            running.callWhenRunning(started.set)
            threading.Thread(
                target=running.run,
                kwargs={"installSignalHandlers": False},
                daemon=True,
            ).start()
            started.wait()
    return running


def call(function: Callable[[], defer.Deferred[T]]) -> T:
    """Calls the function in the reactor thread and waits for its result."""
    waiting: Any = threads.blockingCallFromThread
    result: T = waiting(reactor(), function)
    return result
