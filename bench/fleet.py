"""Simulated entries, agents and targets of one service in virtual time.

Agents and entries run the decision modules of `cicadafront`. Links are
modelled as fixed delays and targets as service-time models.
"""

import random
from collections.abc import Callable

import attrs

from bench import loop, targets
from cicadafront import errors, model
from cicadafront.health import (
    detector,
    ejection,
    outcomes,
    paths,
    permits,
    reference,
)
from cicadafront.peer import exchange
from cicadafront.routing import fairqueue, picker, retry

SERVICE = "service"
TICK_SECONDS = 0.05
EXCHANGE_SECONDS = 5.0
# Interval at which other instances get the records, and so their maximum age.
GOSSIP_SECONDS = 0.1
TIMEOUT_SECONDS = 2.0
MAX_ATTEMPTS = 3
FLOOR = 0.5
PROBE_SECONDS = 0.025


@attrs.frozen
class Deployment:
    """Size and network delays of one deployment.

    Attributes:
        name: Name in the results.
        slots: Slots of each target.
        link_seconds: One-way delay between two instances, in seconds.
        client_seconds: One-way delay between caller and entry, in seconds.
        targets: Number of targets, each on its own instance.
    """

    name: str
    slots: int
    link_seconds: float
    client_seconds: float
    targets: int = 6


DEPLOYMENTS = (
    Deployment("kaburi", 3, 0.0005, 0.003),
    Deployment("pancierova", 5, 0.001, 0.008),
)


@attrs.define(eq=False)
class Request:
    """A request of a caller.

    Attributes:
        account: Account of the caller.
        sent: Time at which the caller sent it, in seconds.
        entry: Number of the entry that receives it.
        attempt: Number of attempts so far.
        tried: Ids of the targets tried so far.
        completed: Whether the caller has its result.
    """

    account: str
    sent: float
    entry: int
    attempt: int = 0
    tried: frozenset[str] = frozenset()
    completed: bool = False


class Agent:
    """Agent of one target.

    Attributes:
        detections: Times at which a serving target was declared gray.
    """

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet = fleet
        self.clock = fleet.clock
        self.number = number
        self.id = f"target-{number}"
        self.model = targets.TargetModel(fleet.clock, fleet.rng)
        self.queue = fairqueue.FairQueue(
            fleet.deployment.slots, self._start, self._reject
        )
        self.detector = detector.Detector(self.id)
        self.references = reference.References()
        self.ejection = ejection.Ejection(fleet.rng)
        self.warm_since = -100.0
        self.serial = 0
        self.summaries_requested_at = -1.0
        self.waiting: dict[fairqueue.Entry, tuple[Request, Callable]] = {}
        self.detections: list[float] = []
        fleet.clock.every(TICK_SECONDS, self.tick)

    def record(self) -> model.Target:
        """Returns the record that the agent announces."""
        state = model.TargetState.SERVING
        if self.ejection.ejected:
            state = model.TargetState.EJECTED
        return model.Target(
            self.id,
            SERVICE,
            f"instance-{self.number}",
            self.fleet.deployment.slots,
            state,
            self.warm_since,
            self.ejection.weight(self.clock.now),
            f"dc-{self.number % 3}",
        )

    def load(self) -> exchange.Load:
        """Returns the load that responses carry."""
        return exchange.Load(self.queue.in_use, self.queue.fair_backlog())

    def open(self, request: Request, reply: Callable) -> None:
        """Queues a request and passes its result to `reply`."""
        if self.ejection.ejected:
            reply(False, errors.Executed.NO)
            return
        deadline = request.sent + TIMEOUT_SECONDS
        entry = fairqueue.Entry(request.account, deadline)
        self.waiting[entry] = (request, reply)
        self.queue.submit(entry, self.clock.now)

    def _reject(
        self, entry: fairqueue.Entry, error: errors.RequestError
    ) -> None:
        self.waiting.pop(entry)[1](False, errors.Executed.NO)

    def _start(self, entry: fairqueue.Entry) -> None:
        self.serial += 1
        tracked = outcomes.Request(self.serial, "route")
        self.detector.started(self.clock.now, tracked)
        self.model.serve(lambda outcome: self._done(entry, tracked, outcome))

    def _done(
        self,
        entry: fairqueue.Entry,
        tracked: outcomes.Request,
        outcome: outcomes.Outcome,
    ) -> None:
        self.detector.finished(self.clock.now, tracked, outcome)
        reply = self.waiting.pop(entry)[1]
        self.queue.finished(entry, self.clock.now)
        reply(succeeded(outcome), errors.Executed.UNKNOWN)

    def tick(self) -> None:
        """Evaluates the health of the target and advances its state."""
        now = self.clock.now
        self.queue.tick(now)
        verdict = self.detector.verdict(
            now, self.references.reference(now, self.id)
        )
        match verdict:
            case detector.Gray() if self.ejection.state in (
                "serving",
                "slow_start",
            ):
                self.detections.append(now)
            case detector.Suspicious(report_window=float(window)):
                self._request_summaries(window)
        self._apply(self.ejection.verdict(now, verdict))
        self._apply(self.ejection.tick(now))

    def _request_summaries(self, window: float | None) -> None:
        now = self.clock.now
        if (
            window is not None
            and now - self.summaries_requested_at < detector.FRESH_SECONDS
        ):
            return
        self.summaries_requested_at = now
        for other in self.fleet.agents:
            if other is not self:
                self.fleet.call(
                    lambda o=other: o.summary(window),
                    lambda data: self.references.learn(
                        self.clock.now, reference.Summary.decode(data)
                    ),
                )

    def exchange_summaries(self) -> None:
        """Requests the periodic summaries of the other targets."""
        self._request_summaries(None)

    def summary(self, window: float | None) -> bytes:
        """Returns the encoded summary for another agent."""
        if window is not None:
            window += self.fleet.deployment.link_seconds
        return self.detector.summary(self.clock.now, window).encode()

    def _apply(self, actions: list[ejection.Action]) -> None:
        now = self.clock.now
        for action in actions:
            match action:
                case ejection.RequestPermit(serial, running):
                    self.fleet.call(
                        lambda s=serial, r=running: (
                            self.fleet.permit_owner.request(
                                now, self.id, self.queue.slots, s, r
                            )
                        ),
                        lambda answer, s=serial: self._apply(
                            self.ejection.answered(self.clock.now, s, answer)
                        ),
                    )
                case ejection.ReleasePermit(serial):
                    self.fleet.permit_owner.release(now, self.id, serial)
                    self.warm_since = now
                case ejection.ResetDetector(returning):
                    self.detector.reset(
                        detector.RETURN_ALARM
                        if returning
                        else detector.evidence.ALARM
                    )
                case ejection.Probe():
                    self.clock.later(PROBE_SECONDS, self._probe_answered)

    def _probe_answered(self) -> None:
        # Probes to a gray target succeed; only its requests are affected.
        self._apply(self.ejection.probed(self.clock.now, True))


def succeeded(outcome: outcomes.Outcome) -> bool:
    """Returns whether the response is complete and its status below 500."""
    return isinstance(outcome, outcomes.Completed) and outcome.status < 500


class Entry:
    """Entry role of one instance.

    Attributes:
        view: Target records as of the last update.
        open_requests: Requests in flight by instance.
        avoided_since: Time at which the path to an instance became unusable
            because of the cut link, by instance.
    """

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet = fleet
        self.clock = fleet.clock
        self.number = number
        self.view: list[model.Target] = [a.record() for a in fleet.agents]
        self.paths = paths.Paths(fleet.rng)
        self.picker = picker.Picker(
            fleet.rng,
            lambda _: self.view,
            self.paths.usable,
            f"dc-{number % 3}",
        )
        self.budget = retry.RetryBudget(0.0)
        self.open_requests: dict[str, set[Request]] = {}
        self.avoided_since: dict[str, float] = {}
        fleet.clock.every(TICK_SECONDS, self.tick)

    def tick(self) -> None:
        """Sends heartbeats and fails the requests on dead links."""
        now = self.clock.now
        for action in self.paths.tick(now):
            peer = int(action.instance.removeprefix("instance-"))
            if isinstance(action, paths.Ping):
                if self.fleet.cut_link != (peer, self.number):
                    self.clock.later(
                        2 * self.fleet.deployment.link_seconds,
                        lambda i=action.instance: self.paths.frame_received(
                            self.clock.now, i
                        ),
                    )
            else:
                for request in list(
                    self.open_requests.pop(action.instance, ())
                ):
                    self._failed(request, errors.Executed.UNKNOWN)
        if (
            self.fleet.cut_link is not None
            and self.fleet.cut_link[1] == self.number
        ):
            instance = f"instance-{self.fleet.cut_link[0]}"
            if not self.paths.usable(now, instance):
                self.avoided_since.setdefault(instance, now)

    def submit(self, request: Request) -> None:
        """Starts a request of a caller."""
        self.budget.requested(self.clock.now)
        self.clock.later(
            TIMEOUT_SECONDS, lambda: self._complete(request, False)
        )
        self._send(request)

    def _send(self, request: Request) -> None:
        now = self.clock.now
        target = self.picker.pick(SERVICE, request.tried, now)
        if target is None:
            self._complete(request, False)
            return
        request.attempt += 1
        request.tried |= {target.id}
        instance = target.instance
        self.open_requests.setdefault(instance, set()).add(request)
        self.paths.stream_opened(now, instance)
        agent = self.fleet.by_id[target.id]
        attempt = request.attempt
        link_seconds = self.fleet.deployment.link_seconds

        def reply(ok: bool, executed: errors.Executed) -> None:
            load = agent.load()
            if self.fleet.cut_link != (agent.number, self.number):
                self.clock.later(
                    link_seconds, lambda: answered(ok, executed, load)
                )

        def answered(
            ok: bool, executed: errors.Executed, load: exchange.Load
        ) -> None:
            self.paths.frame_received(self.clock.now, instance)
            self.paths.stream_closed(self.clock.now, instance)
            self.open_requests.get(instance, set()).discard(request)
            self.picker.observe(target.id, load, self.clock.now)
            if request.attempt != attempt:
                return
            if ok:
                self._complete(request, True)
            else:
                self._failed(request, executed)

        self.clock.later(link_seconds, lambda: agent.open(request, reply))

    def _failed(self, request: Request, executed: errors.Executed) -> None:
        if (
            request.completed
            or request.attempt >= MAX_ATTEMPTS
            or not retry.may_retry(executed, True, False, True)
            or not self.budget.take(self.clock.now)
        ):
            self._complete(request, False)
        else:
            self._send(request)

    def _complete(self, request: Request, ok: bool) -> None:
        if not request.completed:
            request.completed = True
            self.fleet.finished(request, ok)


class Fleet:
    """Simulation of one service in one deployment.

    Attributes:
        cut_link: Numbers of the sender and the receiver of a link that drops
            all frames in this direction, or None.
        results: Latencies in seconds of the requests of each account, None for
            a failed request.
    """

    agent_class: type = Agent
    entry_class: type = Entry

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.clock = loop.Loop()
        self.rng = random.Random(seed)
        self.cut_link: tuple[int, int] | None = None
        count = deployment.targets
        self.agents = [self.agent_class(self, n) for n in range(count)]
        self.by_id = {agent.id: agent for agent in self.agents}
        self.entries = [self.entry_class(self, n) for n in range(count)]
        self.permit_owner = permits.Permits(FLOOR, 1, -100.0)
        self.permit_owner.confirm(1e9)
        self.results: dict[str, list[float | None]] = {}
        self.clock.every(GOSSIP_SECONDS, self._gossip)
        for agent in self.agents:
            self.clock.every(EXCHANGE_SECONDS, agent.exchange_summaries)

    def call(self, handler: Callable, on_reply: Callable) -> None:
        """Calls another instance over a link and passes on its reply."""
        link_seconds = self.deployment.link_seconds

        def execute() -> None:
            answer = handler()
            self.clock.later(link_seconds, lambda: on_reply(answer))

        self.clock.later(link_seconds, execute)

    def _gossip(self) -> None:
        records = [agent.record() for agent in self.agents]
        self.permit_owner.update(self.clock.now, records, lambda _: True)
        for entry in self.entries:
            entry.view = records

    def start_load(self, account: str, rate: float) -> None:
        """Starts Poisson arrivals of an account at `rate` requests/s."""

        def send_next() -> None:
            number = self.rng.randrange(len(self.entries))
            request = Request(account, self.clock.now, number)
            entry = self.entries[number]
            self.clock.later(
                self.deployment.client_seconds, lambda: entry.submit(request)
            )
            self.clock.later(self.rng.expovariate(rate), send_next)

        self.clock.later(self.rng.expovariate(rate), send_next)

    def finished(self, request: Request, ok: bool) -> None:
        """Records the result of a request as observed by its caller."""
        seconds = self.clock.now + self.deployment.client_seconds - request.sent
        results = self.results.setdefault(request.account, [])
        results.append(seconds if ok else None)
