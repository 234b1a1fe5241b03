"""Stand-ins for links and the store on one virtual clock, with faults.

Used by tests and benches of code that is written against `ports`. Every
process has a clock of its own rate; a paused process handles nothing until it
goes on, and then handles all at once what arrived meanwhile.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from cicadafront import errors, ports

STORE = "store"


class Delayed:
    """A call that is due later."""

    def __init__(self, at: float, handle: Callable[[], object]):
        self.at = at
        self.handle: Callable[[], object] | None = handle

    def active(self) -> bool:
        """Tells whether it has neither run nor been cancelled."""
        return self.handle is not None

    def cancel(self) -> None:
        """Prevents the call."""
        self.handle = None


class HeapClock:
    """Virtual time over a heap.

    `task.Clock` sorts all its calls for each new one, which took most of the
    time of a bench with 30 instances.
    """

    def __init__(self):
        self._now = 0.0
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, Delayed]] = []

    def seconds(self) -> float:
        """Returns the virtual time."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> Delayed:
        """Calls later in virtual time."""
        delayed = Delayed(self._now + delay, lambda: callable(*args))
        item = (delayed.at, next(self._numbers), delayed)
        heapq.heappush(self._heap, item)
        return delayed

    def run_next(self, end: float) -> bool:
        """Runs the next call due by a time; False if there is none."""
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
    """Virtual time, the network and its faults.

    Attributes:
        clock: Virtual clock.
        rng: Source of delays and losses.
        delay: Shortest and longest one-way delay in seconds.
        loss: Probability that a message is lost.
        duplication: Probability that a message arrives twice.
        blocked: Pairs of sender and receiver between which nothing passes.
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
        """Delivers a message later, perhaps twice or not at all."""
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
        """Runs all events of a span, with a check after each."""
        end = self.clock.seconds() + seconds
        while self.clock.run_next(end):
            if check is not None:
                check()
        if check is not None:
            check()


class Process:
    """One start of an instance; also its `calls.Timer`.

    Attributes:
        info: Identity and address.
        rate: Seconds of its clock in a second of virtual time.
        running: False once it has crashed.
        paused: Whether it handles nothing for now.
        silent: Whether its host is gone too, so that nothing is refused.
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
        """Returns the time of this process's clock."""
        return self._offset + self.rate * self.world.clock.seconds()

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> Any:
        """Calls later, unless the process has ended by then."""
        return self.world.clock.callLater(
            max(0.0, delay) / self.rate,
            self.run,
            lambda: callable(*args),
        )

    def run(self, handle: Callable[[], object]) -> None:
        """Handles an event now, or when the process goes on."""
        if not self.running:
            return
        if self.paused:
            self._backlog.append(handle)
        else:
            handle()

    def pause(self) -> None:
        """Stops handling events."""
        self.paused = True

    def resume(self) -> None:
        """Handles all events since the pause began."""
        self.paused = False
        backlog, self._backlog = self._backlog, []
        for handle in backlog:
            self.run(handle)

    def crash(self, silent: bool = False) -> None:
        """Ends the process, with `silent` together with its host."""
        self.running = False
        self.silent = silent


class _Exchange:
    """One call from a process to another and its answer."""

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
        """Ends the call with an error unless it has ended."""
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

    def _back(self, handle: Callable[[], None], kind: str) -> None:
        source = self._source
        source.world.send(
            self._target, source.info.id, kind, lambda: source.run(handle)
        )

    def _arrive(self) -> None:
        target = self._source.world.processes[self._target]
        if target.running:
            target.run(lambda: self._serve(target))
        elif not target.silent:
            self._back(lambda: self.fail("call_failed"), "refused")

    def _serve(self, target: Process) -> None:
        answer = target.peers.serve(
            self._method, self._source.info.id, self._body
        )

        def done(value: bytes) -> None:
            if target.running:
                self._back(lambda: self._end(value), "reply")

        def failed(reason: Any) -> None:
            code = getattr(reason.value, "code", "internal_error")
            self._back(lambda: self.fail(code), "reply")

        answer.addCallbacks(done, failed)


class Peers:
    """`ports.PeerCalls` of one process."""

    def __init__(self, process: Process):
        self.handlers: dict[str, ports.CallHandler] = {}
        self._process = process

    def register(self, method: str, handler: ports.CallHandler) -> None:
        """Serves a method."""
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
        """Calls a method of another process, or of this one."""
        if instance == self._process.info.id:
            return self.serve(method, instance, body)
        exchange = _Exchange(self._process, instance, method, body)
        self._process.callLater(timeout, exchange.fail, "call_timeout")
        exchange.send()
        return exchange.result
