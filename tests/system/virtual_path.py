"""Request path of three instances and their targets on one virtual clock.

All steps of a request run the code of the daemon: choice of the target, hedges
and retries, fair queue, failure detector, permits and ejection. Peer links and
sockets are replaced by method calls with a delay.
"""

import random
from typing import Any

from twisted.internet import defer, error
from twisted.python import failure

from cicadafront import errors, model
from cicadafront.agent import agent, connection, targets
from cicadafront.config import model as config_model
from cicadafront.daemon import local
from cicadafront.edge import dependencies, forward
from cicadafront.emulator import faults, target, target_state
from cicadafront.health import paths
from cicadafront.membership import announce
from cicadafront.peer import exchange
from cicadafront.routing import hedges, picker, retry_budgets, slots
from tests.health import fleet as health_fleet

SERVICE = health_fleet.SERVICE
ROUTE = config_model.Route(
    "read", "/", SERVICE, repeatable=True, open=True, timeout=3.0
)
# One-way delay on the loopback interface, including the time to handle it.
HOP_SECONDS = 0.0005
SLOTS = 3
QUEUE_TICK_SECONDS = slots.TICK_SECONDS


class _EmptySocket:
    """Socket without unread bytes."""

    def recv(self, count: int, flags: int) -> bytes:
        raise BlockingIOError


class Pipe:
    """Transport of one end of a connection; it delivers to the other end."""

    def __init__(self, clock: Any):
        self.connected = True
        self.other: Pipe
        self.protocol: Any
        self._clock = clock

    def write(self, data: bytes) -> None:
        self._clock.callLater(HOP_SECONDS, self.other.receive, data)

    def receive(self, data: bytes) -> None:
        if self.connected:
            self.protocol.dataReceived(data)

    def loseConnection(self) -> None:  # noqa: N802
        self._end(error.ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        self._end(error.ConnectionAborted())

    def _end(self, reason: Exception) -> None:
        if self.connected:
            self.connected = False
            self._clock.callLater(HOP_SECONDS, self.other.ended, reason)

    def ended(self, reason: Exception) -> None:
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(failure.Failure(reason))

    def getHandle(self) -> _EmptySocket:  # noqa: N802
        return _EmptySocket()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Does nothing: producers are never paused."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing: responses are small."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing: responses are small."""


class Connector:
    """Connects agents to the emulated targets."""

    def __init__(self, clock: Any, factories: dict[str, Any]):
        self._clock = clock
        self._factories = factories

    def connect(
        self,
        place: targets.LocalTarget,
        new_connection: connection.TargetConnection,
    ) -> "defer.Deferred[None]":
        near, far = Pipe(self._clock), Pipe(self._clock)
        near.other, far.other = far, near
        near.protocol = new_connection
        far.protocol = self._factories[place.target.id].buildProtocol(None)
        far.protocol.makeConnection(far)
        new_connection.makeConnection(near)
        return defer.Deferred()


class LocalTargets:
    """Looks up the local targets of one instance for its agent."""

    def __init__(self, node: "Node"):
        self._node = node

    def local(self, id: str) -> targets.LocalTarget | None:
        found = self._node.fleet.records.get(id)
        if found is None or found.instance != self._node.id:
            return None
        return targets.LocalTarget(found, "h", 1)


class DelayedCalls:
    """Proxy that calls the methods of an object after one hop."""

    def __init__(self, clock: Any, inner: Any):
        self._clock = clock
        self._inner = inner

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._inner, name)
        return lambda *given: self._clock.callLater(HOP_SECONDS, method, *given)


class Node(health_fleet.Node):
    """One instance with its edge, its agent and two targets."""

    def __init__(self, fleet: "PathFleet", number: int):
        super().__init__(fleet, number)
        self.states = [
            target_state.TargetState(
                f"{SERVICE}-{2 * number + index + 1}",
                SERVICE,
                SLOTS,
                rng=random.Random(10 * number + index),
            )
            for index in range(2)
        ]
        factories = {
            state.id: target.TargetFactory(state, self.process)
            for state in self.states
        }
        self.slots = slots.FairSlots(self.process, lambda entry: False)
        self.agent = agent.Agent(
            LocalTargets(self),
            self.slots,
            self.health,
            Connector(self.process, factories),
            self.process,
        )
        self.health._abandon = self.agent.abandon
        rng = random.Random(100 + number)
        links = paths.Paths(rng)
        self.entry = forward.Forwarder(
            dependencies.Dependencies(
                configuration=lambda: fleet.configuration,
                admission=None,
                records=local.LocalRecords(),
                picker=picker.Picker(
                    rng, fleet.targets, links.usable, f"dc{number}"
                ),
                budget=retry_budgets.RetryBudgets(),
                open_at=self.open_at,
                targets=fleet.targets,
                relay=lambda instance: None,
                clock=self.process,
                hedges=hedges.ServiceHedges(),
                suspects=self.crashes,
                rng=rng,
            )
        )

    def start(self) -> None:
        now = self.process.seconds()
        for state in self.states:
            place = announce.LocalTarget(state.id, SERVICE, ("h", 1), SLOTS)
            self.registry.announce(now, place)
        self.tick()
        self._tick_queues()

    def _tick_queues(self) -> None:
        self.slots.tick()
        self.process.callLater(QUEUE_TICK_SECONDS, self._tick_queues)

    def open_at(
        self,
        instance: str,
        request: exchange.OpenRequest,
        response: exchange.ResponseSink,
    ) -> Any:
        node = next(n for n in self.fleet.nodes if n.id == instance)
        if node is self:
            return self.agent.open(request, response)
        sink = node.agent.open(request, DelayedCalls(self.process, response))
        return DelayedCalls(self.process, sink)


class PathFleet(health_fleet.Fleet):
    """Three instances in three data centres with two targets each."""

    def build(self, count: int = 3) -> "PathFleet":
        self.configuration = config_model.Configuration(
            revision=1,
            services={SERVICE: config_model.Service(SERVICE, self.floor)},
            routes={ROUTE.id: ROUTE},
        )
        self.nodes = [Node(self, number) for number in range(count)]
        for node in self.nodes:
            node.start()
        return self

    def states(self) -> list[target_state.TargetState]:
        """Returns the state of all emulated targets."""
        return [state for node in self.nodes for state in node.states]

    def set_fault(self, id: str, **fields: Any) -> None:
        """Sets the fault of a target; without arguments it is removed."""
        node, state = next(
            (node, state)
            for node in self.nodes
            for state in node.states
            if state.id == id
        )
        fault = faults.Fault(fields.pop("fault", "none"))
        since = node.process.seconds()
        state.plan = faults.FaultPlan(fault, since=since, **fields)

    def is_ejected(self, id: str) -> bool:
        """Returns whether the fleet has ejected a target."""
        return self.records[id].state is model.TargetState.EJECTED

    def all_warm(self) -> bool:
        """Returns whether all targets serve with their full weight."""
        return all(
            record.state is model.TargetState.SERVING and record.weight >= 1
            for record in self.records.values()
        )


class Caller:
    """Caller of one read, which reports whether it succeeded."""

    def __init__(self, ended: Any):
        self._ended = ended
        self._status = 0
        self.answer: Any = None

    def send_continue(self) -> None:
        """A read has no body."""

    def head(self, head: model.ResponseHead, load: exchange.Load) -> None:
        self._status = head.status

    def body(self, data: bytes) -> None:
        """The content is checked by the agent."""

    def end(self) -> None:
        self._ended(self._status == 200)

    def fail(self, problem: errors.RequestError, load: exchange.Load) -> None:
        self._ended(False)

    def consumed(self, count: int) -> None:
        """A read has no body."""
