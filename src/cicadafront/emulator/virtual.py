"""Simulated processes and network on one virtual clock, with faults.

Tests and benchmarks use it for code that is written against `ports`. The
clock of each process has its own rate. A paused process handles no events;
when it resumes, it handles all events that arrived during the pause at once.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from cicadafront import errors, ports

STORE = "store"


class DelayedCall:
    """A call scheduled on the virtual clock."""

    def __init__(self, at: float, handle: Callable[[], object]):
        self.at = at
        self.handle: Callable[[], object] | None = handle

    def active(self) -> bool:
        """Returns whether the call has neither run nor been cancelled."""
        return self.handle is not None

    def cancel(self) -> None:
        """Cancels the call."""
        self.handle = None


class HeapClock:
    """Virtual clock based on a heap.

    `task.Clock` sorts all pending calls whenever one is added, which took
    most of the time of a benchmark with 30 instances.
    """

    def __init__(self):
        self._now = 0.0
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        """Returns the virtual time."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> DelayedCall:
        """Schedules a call after `delay` seconds of virtual time."""
        delayed = DelayedCall(self._now + delay, lambda: callable(*args))
        item = (delayed.at, next(self._sequence), delayed)
        heapq.heappush(self._heap, item)
        return delayed

    def run_next(self, end: float) -> bool:
        """Runs the next call that is due by `end`.

        Returns:
            Whether there was one; otherwise the clock advances to `end`.
        """
        while self._heap and self._heap[0][0] <= end:
            at, _, delayed = heapq.heappop(self._heap)
            handle, delayed.handle = delayed.handle, None
            if handle is not None:
                self._now = max(self._now, at)
                handle()
                return True
        self._now = max(self._now, end)
        return False


class World:
    """Simulation of time, the network and its faults.

    Attributes:
        clock: Virtual clock.
        rng: Random source of delays, losses and duplicates.
        delay: Minimum and maximum one-way delay in seconds.
        loss: Probability that a message is lost.
        duplication: Probability that a message is duplicated.
        blocked: Pairs of sender and receiver whose messages are dropped.
        processes: Running process of each instance.
        sent: Number of messages by sender, receiver and kind.
    """

    def __init__(self, seed: int):
        self.clock = HeapClock()
        self.rng = random.Random(seed)
        self.delay = (0.0005, 0.002)
        self.loss = 0.0
        self.duplication = 0.0
        self.blocked: set[tuple[str, str]] = set()
        self.processes: dict[str, Process] = {}
        self.sent: dict[tuple[str, str, str], int] = {}

    def send(
        self, source: str, target: str, kind: str, deliver: Callable[[], None]
    ) -> None:
        """Sends a message, which may be delayed, lost or duplicated."""
        key = (source, target, kind)
        self.sent[key] = self.sent.get(key, 0) + 1
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            delay = self.rng.uniform(*self.delay)
            self.clock.callLater(delay, self._deliver, source, target, deliver)

    def _deliver(
        self, source: str, target: str, deliver: Callable[[], None]
    ) -> None:
        if (source, target) not in self.blocked:
            deliver()

    def advance(
        self, seconds: float, check: Callable[[], None] | None = None
    ) -> None:
        """Advances the clock and runs all events that become due.

        Args:
            seconds: Span of virtual time.
            check: Called after each event and at the end.
        """
        end = self.clock.seconds() + seconds
        while self.clock.run_next(end):
            if check is not None:
                check()
        if check is not None:
            check()


class Process:
    """One incarnation of an instance; also its `calls.Timer`.

    Attributes:
        info: Identity and address.
        rate: Seconds of its clock per second of virtual time.
        running: False after a crash.
        paused: Whether it currently handles no events.
        silent: Whether its host is down as well, so that connections to it
            time out and are not refused.
    """

    def __init__(
        self, world: World, info: ports.InstanceInfo, rate: float = 1.0
    ):
        self.info = info
        self.rate = rate
        self.running = True
        self.paused = False
        self.silent = False
        self.world = world
        self.peers: Peers
        self._offset = world.rng.uniform(0, 1000)
        self._backlog: list[Callable[[], object]] = []
        world.processes[info.id] = self

    def seconds(self) -> float:
        """Returns the time of the clock of this process."""
        return self._offset + self.rate * self.world.clock.seconds()

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> Any:
        """Schedules a call by this clock; skipped if the process crashes."""
        return self.world.clock.callLater(
            max(0.0, delay) / self.rate,
            self.run,
            lambda: callable(*args),
        )

    def run(self, handle: Callable[[], object]) -> None:
        """Handles an event now, or after a pause; drops it after a crash."""
        if not self.running:
            return
        if self.paused:
            self._backlog.append(handle)
        else:
            handle()

    def pause(self) -> None:
        """Pauses the handling of events."""
        self.paused = True

    def resume(self) -> None:
        """Ends a pause and handles the events that arrived during it."""
        self.paused = False
        backlog, self._backlog = self._backlog, []
        for handle in backlog:
            self.run(handle)

    def crash(self, silent: bool = False) -> None:
        """Crashes the process and, with `silent`, also its host."""
        self.running = False
        self.silent = silent


class _PeerCall:
    """One call from a process to another and its reply."""

    def __init__(self, source: Process, target: str, method: str, body: bytes):
        self.result: defer.Deferred[bytes] = defer.Deferred(lambda _: None)
        self._source = source
        self._target = target
        self._method = method
        self._body = body

    def send(self) -> None:
        """Sends the call."""
        source = self._source.info.id
        self._source.world.send(
            source, self._target, self._method, self._arrive
        )

    def fail(self, code: str) -> None:
        """Fails the call with an error code unless it has ended."""
        error = errors.CallFailedError(f"{self._method}: {code}")
        error.code = code
        self._end(error)

    def _end(self, result: bytes | errors.CallFailedError) -> None:
        if self.result.called:
            return
        if isinstance(result, bytes):
            self.result.callback(result)
        else:
            self.result.errback(result)

    def _send_back(self, handle: Callable[[], None], kind: str) -> None:
        source = self._source
        source.world.send(
            self._target, source.info.id, kind, lambda: source.run(handle)
        )

    def _arrive(self) -> None:
        target = self._source.world.processes[self._target]
        if target.running:
            target.run(lambda: self._serve(target))
        elif not target.silent:
            self._send_back(lambda: self.fail("call_failed"), "refused")

    def _serve(self, target: Process) -> None:
        reply = target.peers.serve(
            self._method, self._source.info.id, self._body
        )

        def done(value: bytes) -> None:
            if target.running:
                self._send_back(lambda: self._end(value), "reply")

        def failed(reason: Any) -> None:
            code = getattr(reason.value, "code", "internal_error")
            self._send_back(lambda: self.fail(code), "reply")

        reply.addCallbacks(done, failed)


class Peers:
    """`ports.PeerCalls` of one process."""

    def __init__(self, process: Process):
        self.handlers: dict[str, ports.CallHandler] = {}
        self._process = process

    def register(self, method: str, handler: ports.CallHandler) -> None:
        """Registers the handler of a method."""
        self.handlers[method] = handler

    def serve(
        self, method: str, caller: str, body: bytes
    ) -> "defer.Deferred[Any]":
        """Runs the handler of a method."""
        handler: Callable[..., Any] = self.handlers[method]
        return defer.maybeDeferred(handler, caller, body)

    def call(
        self, instance: str, method: str, body: bytes, timeout: float
    ) -> "defer.Deferred[bytes]":
        """Calls a method of another process, or directly of this one."""
        if instance == self._process.info.id:
            return self.serve(method, instance, body)
        exchange = _PeerCall(self._process, instance, method, body)
        self._process.callLater(timeout, exchange.fail, "call_timeout")
        exchange.send()
        return exchange.result
