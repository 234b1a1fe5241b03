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

import attrs
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


@attrs.define
class _Item:
    value: bytes
    version: int
    lease: str


class StoreServer:
    """Contents of the store.

    Attributes:
        up: Whether it answers.
        calls: Number of calls that took effect.
        no_renewal: Leases whose renewals are refused.
    """

    def __init__(self, world: World):
        self.up = True
        self.calls = 0
        self.items: dict[str, _Item] = {}
        self.leases: dict[str, tuple[float, float]] = {}
        self.no_renewal: set[str] = set()
        self._world = world
        self._ids = itertools.count(1)

    def expire(self) -> None:
        """Ends lapsed leases and deletes their keys."""
        now = self._world.clock.seconds()
        for lease, (ends, _) in list(self.leases.items()):
            if ends <= now:
                self.end_lease(lease)

    def end_lease(self, lease: str) -> None:
        """Ends a lease and deletes its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item.lease == lease:
                del self.items[key]

    def get(self, key: str) -> ports.Versioned | None:
        """Reads a key."""
        item = self.items.get(key)
        if item is None:
            return None
        return ports.Versioned(item.value, item.version, item.lease)

    def list(self, prefix: str) -> dict[str, ports.Versioned]:
        """Reads all keys with a prefix."""
        return {
            key: ports.Versioned(item.value, item.version, item.lease)
            for key, item in self.items.items()
            if key.startswith(prefix)
        }

    def put(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> int:
        """Writes a key."""
        present = self.items.get(key)
        version = present.version if present else 0
        if expected is not None and expected != version:
            raise errors.StoreConflictError(f"{key} has version {version}")
        if lease and lease not in self.leases:
            raise errors.StoreConflictError(f"lease {lease} has lapsed")
        self.items[key] = _Item(value, version + 1, lease)
        return version + 1

    def delete(self, key: str) -> None:
        """Deletes a key."""
        self.items.pop(key, None)

    def grant_lease(self, ttl: float) -> str:
        """Creates a lease."""
        lease = f"l{next(self._ids)}"
        self.leases[lease] = (self._world.clock.seconds() + ttl, ttl)
        return lease

    def renew_lease(self, lease: str) -> None:
        """Renews a lease."""
        if lease not in self.leases or lease in self.no_renewal:
            raise errors.StoreConflictError(f"lease {lease} has lapsed")
        ttl = self.leases[lease][1]
        self.leases[lease] = (self._world.clock.seconds() + ttl, ttl)


class StoreClient:
    """`ports.Store` of one process; an answer may never come."""

    def __init__(self, process: Process, server: StoreServer):
        self._process = process
        self._server = server

    def _call(self, operation: Callable[[], Any], kind: str):
        process, server = self._process, self._server
        world, name = process.world, process.info.id
        result: defer.Deferred[Any] = defer.Deferred(lambda _: None)

        def reply(method: Callable[[Any], None], value: Any) -> None:
            if not result.called:
                method(value)

        def arrive() -> None:
            if not server.up:
                return
            server.expire()
            server.calls += 1
            method: Callable[[Any], None] = result.callback
            try:
                value = operation()
            except errors.StoreConflictError as error:
                method, value = result.errback, error
            world.send(
                STORE,
                name,
                "answer",
                lambda: process.run(lambda: reply(method, value)),
            )

        world.send(name, STORE, kind, arrive)
        return result

    def get(self, key: str):
        """Reads one key."""
        return self._call(lambda: self._server.get(key), "get")

    def list(self, prefix: str):
        """Reads all keys with a prefix."""
        return self._call(lambda: self._server.list(prefix), "list")

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: str = "",
    ):
        """Writes a key."""
        return self._call(
            lambda: self._server.put(key, value, expected, lease), "put"
        )

    def delete(self, key: str, expected: int | None = None):
        """Deletes a key."""
        return self._call(lambda: self._server.delete(key), "delete")

    def watch(self, key: str, after: int, timeout: float):
        """Is not emulated."""
        raise NotImplementedError

    def grant_lease(self, ttl: float):
        """Creates a lease."""
        return self._call(lambda: self._server.grant_lease(ttl), "grant")

    def renew_lease(self, lease: str):
        """Renews a lease."""
        return self._call(lambda: self._server.renew_lease(lease), "renew")

    def revoke_lease(self, lease: str):
        """Ends a lease."""
        return self._call(lambda: self._server.end_lease(lease), "revoke")


class View:
    """`ports.Directory` of one process: who was heard of lately.

    A process that was not heard for `DEAD_SECONDS` is believed dead, as with
    gossip.
    """

    DEAD_SECONDS = 1.5
    STEP_SECONDS = 0.25

    def __init__(self, process: Process):
        self._process = process
        self._handlers: list[Callable[[], None]] = []
        self._heard: dict[str, float] = {}
        self._seen: dict[str, ports.InstanceInfo] = {}
        self.leaving: set[str] = set()
        self._look()

    def instance(self, id: str) -> ports.InstanceInfo | None:
        """Returns one instance."""
        return self._seen.get(id)

    def instances(self) -> list[ports.InstanceInfo]:
        """Returns all known instances."""
        return list(self._seen.values())

    def targets(self, service: str) -> list:
        """Returns no targets."""
        return []

    def on_change(self, handler: Callable[[], None]) -> None:
        """Calls the handler after each change."""
        self._handlers.append(handler)

    def _look(self) -> None:
        self._process.callLater(self.STEP_SECONDS, self._look)
        now, me = self._process.seconds(), self._process.info.id
        world = self._process.world
        before = dict(self._seen)
        for id, other in world.processes.items():
            blocked = (id, me) in world.blocked or (me, id) in world.blocked
            if other.running and not other.paused and not blocked:
                self._heard[id] = now
            known = self._seen.get(id)
            if known is None and id not in self._heard:
                continue
            fresh = now - self._heard[id] < self.DEAD_SECONDS
            info = other.info if self._heard[id] == now else known
            assert info is not None
            self._seen[id] = attrs.evolve(
                info, alive=fresh, leaving=info.leaving
            )
        if before != self._seen:
            for handler in self._handlers:
                handler()


def prober(process: Process) -> Callable[[str, int], "defer.Deferred[bool]"]:
    """Returns a probe that tells whether an address refuses connections.

    The host of an address is the instance's id and the port its incarnation.
    """
    world, me = process.world, process.info.id

    def probe(host: str, _port: int) -> "defer.Deferred[bool]":
        result: defer.Deferred[bool] = defer.Deferred()

        def back() -> None:
            world.send(
                host,
                me,
                "refusal",
                lambda: process.run(lambda: answer(True)),
            )

        def arrive() -> None:
            target = world.processes[host]
            if not target.running and not target.silent:
                back()

        def answer(refused: bool) -> None:
            if not result.called:
                result.callback(refused)

        process.callLater(1.0, answer, False)
        world.send(me, host, "probe", arrive)
        return result

    return probe
