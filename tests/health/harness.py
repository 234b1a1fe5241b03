"""Detectors of one service under simulated traffic on virtual time."""

import random

from bench import loop, targets
from cicadafront.health import detector, outcomes, reference

EXCHANGE_SECONDS = 5.0
LINK_SECONDS = 0.001
CHECK_SECONDS = 0.05


class MonitoredTarget:
    """One simulated target and the detector of its agent."""

    def __init__(self, service: "Service", number: int) -> None:
        self.service = service
        self.clock = service.clock
        self.id = f"target-{number}"
        self.model = targets.TargetModel(service.clock, service.rng)
        self.detector = detector.Detector(self.id)
        self.references = reference.References()
        self.waiting: list[outcomes.Request] = []
        self.in_use = 0
        self.gray: list[tuple[float, str]] = []
        self.serial = 0

    def arrive(self) -> None:
        """Accepts one request and schedules the next."""
        self.serial += 1
        self.waiting.append(outcomes.Request(self.serial, "route"))
        self._start()
        self.clock.later(
            self.service.rng.expovariate(self.service.rate), self.arrive
        )

    def _start(self) -> None:
        while self.waiting and self.in_use < self.service.slots:
            request = self.waiting.pop(0)
            self.in_use += 1
            self.detector.started(self.clock.now, request)
            self.model.serve(lambda outcome, w=request: self._done(w, outcome))

    def _done(
        self, request: outcomes.Request, outcome: outcomes.Outcome
    ) -> None:
        self.in_use -= 1
        self.detector.finished(self.clock.now, request, outcome)
        self._start()

    def check(self) -> None:
        """Evaluates the target and requests reports if necessary."""
        now = self.clock.now
        found = self.detector.verdict(
            now, self.references.reference(now, self.id)
        )
        match found:
            case detector.Gray(reason):
                self.gray.append((now, reason))
            case detector.Suspicious(report_window=float(window)):
                self.service.request_reports(self, window)


class Service:
    """Targets whose agents exchange summaries.

    Attributes:
        rate: Requests per second and target.
    """

    def __init__(
        self, seed: int, count: int = 6, rate: float = 20.0, slots: int = 3
    ) -> None:
        self.clock = loop.Loop()
        self.rng = random.Random(seed)
        self.rate = rate
        self.slots = slots
        self.targets = [
            MonitoredTarget(self, number) for number in range(count)
        ]
        for target in self.targets:
            self.clock.later(self.rng.expovariate(rate), target.arrive)
            self.clock.every(CHECK_SECONDS, target.check)
        self.clock.every(EXCHANGE_SECONDS, self.exchange)

    def exchange(self) -> None:
        """Sends every summary to every other agent."""
        for target in self.targets:
            self.request_reports(target)

    def request_reports(
        self, requester: MonitoredTarget, window: float | None = None
    ) -> None:
        """Delivers current summaries of the others after one round trip."""
        for other in self.targets:
            if other is not requester:
                self.clock.later(
                    LINK_SECONDS,
                    lambda o=other: self._answer(requester, o, window),
                )

    def _answer(
        self,
        requester: MonitoredTarget,
        other: MonitoredTarget,
        window: float | None,
    ) -> None:
        if window is not None:
            window += LINK_SECONDS
        data = other.detector.summary(self.clock.now, window).encode()
        self.clock.later(
            LINK_SECONDS,
            lambda: requester.references.learn(
                self.clock.now, reference.Summary.decode(data)
            ),
        )

    def gray(self) -> dict[str, tuple[float, str]]:
        """Returns the time and reason of the first gray verdict by target."""
        return {t.id: t.gray[0] for t in self.targets if t.gray}
