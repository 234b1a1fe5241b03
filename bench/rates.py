"""Plays faults of rate coordinators on a virtual clock, without a network.

For each fault and demand it prints
- `window`: the most requests that were admitted in any window of the operators,
  as a share of what they allow; above 1 the limit was exceeded,
- `served`: the admitted requests, as a share of the demand or of the account's
  rate, whichever is less,
- `after_1s`: the same for the second that begins 1 s after a fault, at worst,
- `calls`: calls between instances for each request.

Usage: python -m bench.rates --seed 1 [--faults FAULT ...]
"""

import argparse
import collections
import random
from collections.abc import Callable, Iterator
from typing import Any

import attrs
from twisted.internet import defer, task

from cicadafront import errors, ports
from cicadafront.config import model as config_model
from cicadafront.limits import coordinators, shares
from cicadafront.membership import suspicion
from cicadafront.peer import failures
from cicadafront.sidecar import assembly

ACCOUNT = config_model.ClientAccount("a", 50.0, 50.0)
TOLERANCE = coordinators.Tolerance(5.0, 0.1, 20.0)
DEMANDS = (0.5, 1.0, 3.0, 7.5)
SIZE = 30
SECONDS = 60.0
# The fleet has settled by then.
FIRST_FAULT_SECONDS = 10.0
FAULT_INTERVAL_SECONDS = 6.0
LATENCY_SECONDS = 0.001
# Time from the end of a process until the next one listens.
RESTART_SECONDS = 0.5
# Time after which the others take a silent instance for dead.
DETECTION_SECONDS = 2.0


@attrs.frozen
class Freeze:
    """The coordinator, or it and its standby in turn, stands still."""

    seconds: float
    times: int = 1
    in_turn: bool = False
    interval: float = FAULT_INTERVAL_SECONDS


@attrs.frozen
class Kill:
    """The coordinator is killed and started again.

    Attributes:
        unconfigured_seconds: Time for which the new process has no
            configuration.
        times: Number of kills.
    """

    unconfigured_seconds: float
    times: int = 1


@attrs.frozen
class Stop:
    """The coordinator is stopped as planned and started again."""


@attrs.frozen
class Cut:
    """A share of the instances is cut off from the others.

    Attributes:
        share: Share of the instances.
        seconds: Length of the cut.
        one_way: Whether they still receive calls.
        detected: Whether both sides take each other for dead meanwhile.
        alone: Whether those that are cut off do not reach one another either,
            so that each of them notices that it is isolated.
    """

    share: float
    seconds: float = 4.5
    one_way: bool = False
    detected: bool = False
    alone: bool = False


Fault = Freeze | Kill | Stop | Cut
FAULTS: dict[str, Fault | None] = {
    "none": None,
    "freeze_50ms": Freeze(0.05),
    "freeze_1s": Freeze(1.0),
    "freeze_5s": Freeze(5.0),
    "freeze_1s_often": Freeze(1.0, times=8),
    "freeze_1s_run_600ms": Freeze(1.0, times=8, interval=1.6),
    "freeze_in_turn": Freeze(1.0, times=8, in_turn=True),
    "kill": Kill(0.0),
    "kill_store_silent": Kill(1.5, times=8),
    "planned_stop": Stop(),
    "cut_tenth": Cut(0.1),
    "cut_third": Cut(1 / 3),
    "cut_third_detected": Cut(1 / 3, detected=True),
    "cut_third_alone": Cut(1 / 3, alone=True),
    "cut_half": Cut(0.5),
    "cut_third_one_way": Cut(1 / 3, one_way=True),
}


class Instance:
    """One instance; its processes replace one another."""

    def __init__(self, fleet: "Fleet", name: str):
        self.fleet = fleet
        self.name = name
        self.frozen_until = 0.0
        self.running = True
        self.leaving = False
        self.configured_at = 0.0
        self.isolated = False
        self.start()

    def start(self) -> None:
        """Starts a process, which knows nothing of the one before."""
        self.running, self.leaving = True, False
        self.started = self.fleet.clock.seconds()
        self.handlers: dict[str, Any] = {}
        self.change_handlers: list[Callable[[], None]] = []
        self.admission = shares.SharedAdmission(
            self.name,
            self.fleet.clock,
            self,
            self,
            lambda id: ACCOUNT if self.configured else None,
            lambda: self.isolated or not self.configured,
            lambda account, seen: TOLERANCE.limit(account),
            lambda: SIZE,
            self._is_settling,
            configured=lambda: self.configured,
        )

    @property
    def configured(self) -> bool:
        """Whether the process has a configuration and knows the fleet."""
        return self.fleet.clock.seconds() >= self.configured_at

    def _is_settling(self) -> bool:
        age = self.fleet.clock.seconds() - self.started
        return bool(self.started) and age < assembly.SETTLE_SECONDS

    def instances(self) -> list[ports.InstanceInfo]:
        """Implements `ports.Directory.instances`."""
        return [
            ports.InstanceInfo(
                other.name,
                1,
                "dc",
                ("", 0),
                (self.name, other.name) not in self.fleet.taken_for_dead,
                other.leaving,
            )
            for other in self.fleet.instances.values()
        ]

    def on_change(self, handler: Callable[[], None]) -> None:
        """Implements `ports.Directory.on_change`."""
        self.change_handlers.append(handler)

    def register(self, method: str, handler: Any) -> None:
        """Implements `ports.PeerCalls.register`."""
        self.handlers[method] = handler

    def call(
        self, instance: str, method: str, body: bytes, timeout: float
    ) -> "defer.Deferred[bytes]":
        """Implements `ports.PeerCalls.call`."""
        self.fleet.calls += 1
        return Call(self.fleet, self, instance).send(method, body, timeout)

    def act(self, action: Callable[[], None]) -> None:
        """Runs an action once the process is not frozen."""
        wait = self.frozen_until - self.fleet.clock.seconds()
        if wait > 0:
            self.fleet.clock.callLater(wait, self.act, action)
        else:
            action()


class Call:
    """One call between two instances."""

    def __init__(self, fleet: "Fleet", caller: Instance, callee: str):
        self._fleet = fleet
        self._caller = caller
        self._callee = fleet.instances[callee]
        self._result: defer.Deferred[bytes] = defer.Deferred()

    def send(
        self, method: str, body: bytes, timeout: float
    ) -> "defer.Deferred[bytes]":
        """Sends the call; returns its result."""
        clock = self._fleet.clock
        callee = self._callee
        self._timer = clock.callLater(timeout, self._caller.act, self._time_out)
        if callee.running and self._reaches(self._caller, callee):
            handler = callee.handlers[method]

            def handle() -> None:
                answer = defer.maybeDeferred(handler, self._caller.name, body)
                answer.addCallbacks(self._answer, lambda _: None)

            clock.callLater(LATENCY_SECONDS, callee.act, handle)
        return self._result

    def _reaches(self, one: Instance, other: Instance) -> bool:
        return (one.name, other.name) not in self._fleet.cut

    def _answer(self, reply: bytes) -> None:
        def finish() -> None:
            if not self._result.called:
                if self._timer.active():
                    self._timer.cancel()
                self._result.callback(reply)

        if self._callee.running and self._reaches(self._callee, self._caller):
            clock = self._fleet.clock
            clock.callLater(LATENCY_SECONDS, self._caller.act, finish)

    def _time_out(self) -> None:
        if not self._result.called:
            error = failures.call_error("call_timeout", "no answer in time")
            self._result.errback(error)


class Fleet:
    """All instances, the demand on them, and what was admitted when."""

    def __init__(self, seed: int):
        self.clock = task.Clock()
        self.rng = random.Random(seed)
        self.cut: set[tuple[str, str]] = set()
        self.taken_for_dead: set[tuple[str, str]] = set()
        self.calls = 0
        self.sent = 0
        self.admitted: list[float] = []
        self.faults: list[float] = []
        self.instances: dict[str, Instance] = {}
        for number in range(SIZE):
            name = f"n{number}"
            self.instances[name] = Instance(self, name)
        self.coordinators = [
            self.instances[name]
            for name in coordinators.select(ACCOUNT.id, self.instances)
        ]

    def changed(self) -> None:
        """Reports a change of the directory to all processes."""
        for instance in self.instances.values():
            for handler in instance.change_handlers:
                handler()

    def request(self) -> None:
        """Sends one request to a random instance."""
        instance = self.rng.choice(list(self.instances.values()))
        self.sent += 1
        instance.act(lambda: self._admit(instance))

    def _admit(self, instance: Instance) -> None:
        if not (instance.running and instance.configured):
            return
        done = instance.admission.admit(ACCOUNT)
        done.addCallbacks(
            lambda _: self.admitted.append(self.clock.seconds()),
            lambda reason: reason.trap(errors.RateExceededError),
        )

    def cause(self, fault: Fault | None) -> None:
        """Schedules all occurrences of a fault."""
        for number, at in enumerate(_times(fault)):
            self.clock.callLater(at, self._cause, fault, number)

    def _cause(self, fault: Fault, number: int) -> None:
        self.faults.append(self.clock.seconds())
        primary = self.coordinators[0]
        match fault:
            case Freeze(seconds, _, in_turn, _):
                frozen = self.coordinators[number % 2 if in_turn else 0]
                frozen.frozen_until = self.clock.seconds() + seconds
            case Kill(unconfigured, _):
                self._end(primary, unconfigured)
            case Stop():
                primary.leaving = True
                self.changed()
                self.clock.callLater(2.5, self._end, primary, 0.0)
            case Cut():
                self._cut(fault)

    def _end(self, instance: Instance, unconfigured: float) -> None:
        instance.running = False
        instance.configured_at = (
            self.clock.seconds() + RESTART_SECONDS + unconfigured
        )
        self.clock.callLater(RESTART_SECONDS, self._start, instance)

    def _start(self, instance: Instance) -> None:
        instance.start()
        self.changed()

    def _cut(self, fault: Cut) -> None:
        names = sorted(self.instances, key=lambda _: self.rng.random())
        count = round(fault.share * len(names))
        # The coordinator stays with the larger part.
        names.remove(self.coordinators[0].name)
        off, rest = names[:count], [*names[count:], self.coordinators[0].name]
        pairs = {(one, other) for one in off for other in rest}
        back = {(other, one) for one, other in pairs}
        self.cut = pairs if fault.one_way else pairs | back
        if fault.alone:
            self.cut |= {(one, other) for one in off for other in off}
            for name in off:
                self.clock.callLater(
                    suspicion.ISOLATION_SECONDS, self._isolate, name
                )
        if fault.detected:
            self.clock.callLater(
                DETECTION_SECONDS, self._take_for_dead, pairs | back
            )
        self.clock.callLater(fault.seconds, self._mend)

    def _take_for_dead(self, pairs: set[tuple[str, str]]) -> None:
        self.taken_for_dead = pairs
        self.changed()

    def _isolate(self, name: str) -> None:
        self.instances[name].isolated = True

    def _mend(self) -> None:
        self.cut, self.taken_for_dead = set(), set()
        for instance in self.instances.values():
            instance.isolated = False
        self.changed()

    def run(self, demand: float) -> None:
        """Plays the demand, a factor of the account's rate."""
        self._expect(demand * ACCOUNT.rate)
        while self.clock.calls:
            due = self.clock.calls[0].getTime()
            if due > SECONDS:
                return
            self.clock.advance(max(0.0, due - self.clock.seconds()))

    def _expect(self, rate: float) -> None:
        """Schedules the next request."""

        def arrive() -> None:
            self.request()
            self._expect(rate)

        self.clock.callLater(self.rng.expovariate(rate), arrive)


def _times(fault: Fault | None) -> Iterator[float]:
    count, interval = 0, FAULT_INTERVAL_SECONDS
    match fault:
        case Freeze(_, times, _, seconds):
            count, interval = times, seconds
        case Kill(_, times):
            count = times
        case Stop() | Cut():
            count = 3
    for number in range(count):
        yield FIRST_FAULT_SECONDS + number * interval


def allowed(seconds: float) -> float:
    """Returns what the operators allow in a window, without the tolerance."""
    return ACCOUNT.rate * seconds + ACCOUNT.burst


def most_in_a_window(times: list[float]) -> int:
    """Returns the largest number of times within one window."""
    most = 0
    window: collections.deque[float] = collections.deque()
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - TOLERANCE.seconds:
            window.popleft()
        most = max(most, len(window))
    return most


def measure(fault: Fault | None, demand: float, seed: int) -> dict[str, float]:
    """Plays one fault at one demand; returns the figures."""
    fleet = Fleet(seed)
    fleet.cause(fault)
    fleet.run(demand)
    limit = allowed(TOLERANCE.seconds) * (1 + TOLERANCE.share) + TOLERANCE.extra
    owed = min(1.0, demand) * ACCOUNT.rate
    after = [
        sum(at + 1.0 <= time < at + 2.0 for time in fleet.admitted) / owed
        for at in fleet.faults
    ]
    return {
        "window": most_in_a_window(fleet.admitted) / limit,
        "served": len(fleet.admitted) / (owed * SECONDS),
        "after_1s": min(after, default=1.0),
        "calls": fleet.calls / fleet.sent,
    }


def main() -> None:
    """Plays the faults and prints a line for each fault and demand."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", nargs="+", default=list(FAULTS))
    options = parser.parse_args()
    for name in options.faults:
        for demand in DEMANDS:
            figures = measure(FAULTS[name], demand, options.seed)
            row = "  ".join(f"{key} {v:.2f}" for key, v in figures.items())
            print(f"{name:20s} {demand:4.1f}  {row}", flush=True)


if __name__ == "__main__":
    main()
