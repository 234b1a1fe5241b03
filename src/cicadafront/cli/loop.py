"""Runs asynchronous functions from synchronous code."""

import threading
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet import defer, threads

T = TypeVar("T")

_lock = threading.Lock()


def reactor() -> Any:
    """Returns the reactor, which runs in a background thread.

    A reactor can be started only once in a process. In a background thread it
    serves any number of calls, and the main thread can handle Ctrl-C.
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
    """Calls a function in the reactor thread and blocks until its result."""
    blocking_call: Any = threads.blockingCallFromThread
    result: T = blocking_call(reactor(), function)
    return result
