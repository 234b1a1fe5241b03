"""State machine for the ejection and the return of a target.

The state machine holds the state of the target. `Ejection` holds the times and
returns the actions that the agent must carry out. Every call first checks
whether the permit has expired, so that a process that was paused returns its
target to service before it does anything else.
"""

import math
import random
from typing import Protocol

import attrs
from automat import TypeMachineBuilder

from cicadafront.health import detector, permits

# Weight of a gray target for which there is no permit. The remaining requests
# show whether it is still gray.
LOW_WEIGHT = 0.05
# The target returns to service this long before its permit expires. Covers late
# timers and the rate difference of two clocks.
RETURN_MARGIN_SECONDS = 0.25
RENEW_SECONDS = 1.5
REQUEST_INTERVAL_SECONDS = 1.0
BACKOFF_FIRST_SECONDS = 5.0
BACKOFF_MAX_SECONDS = 300.0
# The backoff is reset after a target has been in service for this long and for
# twice its last backoff.
STEADY_SECONDS = 60.0
PROBE_SECONDS = 0.5
PROBES_NEEDED = 3
# Timeout of a probe, which usually takes about 25 ms.
PROBE_LIMIT_SECONDS = 0.1
SLOW_START_SECONDS = 10.0
SLOW_START_WEIGHT = 0.1
# Time without evidence after which a target with a low weight recovers.
HEALTHY_SECONDS = 2.0


@attrs.frozen
class RequestPermit:
    """Request a permit or its renewal from the owner.

    Attributes:
        serial: Sequence number of the request.
        running: Whether the target is ejected under a valid permit.
    """

    serial: int
    running: bool


@attrs.frozen
class ReleasePermit:
    """Tell the owner that the target is back in service.

    Attributes:
        serial: Sequence number of the last request. The owner discards this
            request and earlier ones.
    """

    serial: int


@attrs.frozen
class Probe:
    """Send one probe to the target."""


@attrs.frozen
class ResetDetector:
    """Discard the evidence of the detector.

    Attributes:
        returning: Whether the target returns from an ejection, so that less
            evidence suffices for the next one.
    """

    returning: bool


Action = RequestPermit | ReleasePermit | Probe | ResetDetector


class _Inputs(Protocol):
    def gray(self) -> None:
        """The detector has found the target gray."""

    def recovered(self) -> None:
        """The target with a low weight has been healthy for long enough."""

    def permitted(self) -> None:
        """The owner granted a permit."""

    def permit_ended(self) -> None:
        """The permit was recalled or was not renewed in time."""

    def backoff_over(self) -> None:
        """The ejection time has passed."""

    def probes_good(self) -> None:
        """Enough consecutive probes have succeeded."""

    def ramp_over(self) -> None:
        """The slow start has ended."""

    def name(self) -> str:
        """Returns the name of the state."""


class _Core:
    """State and actions of the transitions.

    Attributes:
        now: Time of the current call, in seconds.
        actions: Actions that the agent must carry out.
        serial: Sequence number of the last permit request.
        sent: Send times of the valid permit requests, by sequence number.
    """

    def __init__(self, serial: int) -> None:
        self.now = 0.0
        self.actions: list[Action] = []
        self.serial = serial
        self.sent: dict[int, float] = {}

    def request(self, running: bool) -> None:
        """Requests a permit."""
        self.serial += 1
        self.sent[self.serial] = self.now
        # Permits granted for older requests would have expired by now.
        for serial, sent in list(self.sent.items()):
            if self.now - sent > permits.PERMIT_SECONDS:
                del self.sent[serial]
        self.actions.append(RequestPermit(self.serial, running))

    def perform(self, action: str) -> None:
        """Performs an action that the transition table names."""
        match action:
            case "ask":
                self.request(False)
            case "release":
                self.sent.clear()
                self.actions.append(ReleasePermit(self.serial))
            case "returning" | "steady":
                self.actions.append(ResetDetector(action == "returning"))
            case "probe":
                self.actions.append(Probe())


def _build():
    builder = TypeMachineBuilder(_Inputs, _Core)
    names = ("serving", "low_weight", "ejected", "probing", "slow_start")
    states = {name: builder.state(name) for name in names}
    inputs = [
        _Inputs.gray,
        _Inputs.recovered,
        _Inputs.permitted,
        _Inputs.permit_ended,
        _Inputs.backoff_over,
        _Inputs.probes_good,
        _Inputs.ramp_over,
    ]
    table = {
        ("serving", _Inputs.gray): ("low_weight", ("ask",)),
        ("slow_start", _Inputs.gray): ("low_weight", ("ask",)),
        ("low_weight", _Inputs.recovered): (
            "slow_start",
            ("returning",),
        ),
        ("low_weight", _Inputs.permitted): ("ejected", ()),
        ("ejected", _Inputs.permit_ended): ("low_weight", ("release",)),
        ("probing", _Inputs.permit_ended): ("low_weight", ("release",)),
        ("ejected", _Inputs.backoff_over): ("probing", ("probe",)),
        ("probing", _Inputs.probes_good): (
            "slow_start",
            ("release", "returning"),
        ),
        ("slow_start", _Inputs.ramp_over): ("serving", ("steady",)),
    }
    for name, state in states.items():
        for given in inputs:
            after, actions = table.get((name, given), (name, ()))
            _transition(state, given, states[after], actions)
        _named(state, name)
    return builder.build()


def _transition(state, given, after, actions: tuple[str, ...]) -> None:
    @state.upon(given).to(after)
    def _act(inputs: _Inputs, core: _Core) -> None:
        for action in actions:
            core.perform(action)


def _named(state, name: str) -> None:
    @state.upon(_Inputs.name).loop()
    def _name(inputs: _Inputs, core: _Core) -> str:
        return name


_MACHINE = _build()


class Ejection:
    """Controls the ejection and the return of one target.

    Args:
        rng: Source of the jitter between permit requests.
        first_serial: Sequence number before that of the first permit request.
            Must be higher after each restart of the agent.
    """

    def __init__(self, rng: random.Random, first_serial: int = 0) -> None:
        self._rng = rng
        self._core = _Core(first_serial)
        self._machine = _MACHINE(self._core)
        self._weight = 1.0
        self._permit_until = -math.inf
        self._next_request = -math.inf
        self._next_probe = math.inf
        self._good_probes = 0
        self._backoff = 0.0
        self._ejected_until = -math.inf
        self._since = -math.inf
        self._healthy_since = math.inf

    @property
    def state(self) -> str:
        """Name of the state."""
        return self._machine.name()

    @property
    def ejected(self) -> bool:
        """Whether the target must get no requests."""
        return self.state in ("ejected", "probing")

    def weight(self, now: float) -> float:
        """Returns the share of the usual load for the target, from 0 to 1."""
        match self.state:
            case "serving":
                return self._weight
            case "low_weight":
                return LOW_WEIGHT
            case "slow_start":
                share = min(1.0, (now - self._since) / SLOW_START_SECONDS)
                ramp = SLOW_START_WEIGHT + (1 - SLOW_START_WEIGHT) * share
                return min(ramp, self._weight)
        return 0.0

    def verdict(self, now: float, found: detector.Verdict) -> list[Action]:
        """Handles the verdict of the detector and returns the actions."""
        self._check_permit(now)
        match found:
            case detector.Gray():
                self._healthy_since = math.inf
                self._start_ejection(now)
            case detector.Suspicious(weight):
                self._weight = weight
                self._healthy_since = math.inf
            case _:
                self._weight = 1.0
                self._healthy_since = min(self._healthy_since, now)
        return self._take_actions()

    def _start_ejection(self, now: float) -> None:
        state = self.state
        if state not in ("serving", "slow_start"):
            return
        steady = max(STEADY_SECONDS, 2 * self._backoff)
        if state == "serving" and now - self._since > steady:
            self._backoff = 0.0
        self._backoff = min(
            BACKOFF_MAX_SECONDS,
            max(BACKOFF_FIRST_SECONDS, 2 * self._backoff),
        )
        self._ejected_until = -math.inf
        self._next_request = now + self._jitter(REQUEST_INTERVAL_SECONDS)
        self._machine.gray()

    def answered(
        self, now: float, serial: int, answer: permits.Answer
    ) -> list[Action]:
        """Handles the owner's reply to a permit request."""
        self._check_permit(now)
        sent = self._core.sent.get(serial)
        if sent is None:
            # The request was discarded, and the release informed the owner.
            return self._take_actions()
        if isinstance(answer, permits.Denied):
            if self.ejected:
                self._end_permit(now)
            return self._take_actions()
        until = sent + permits.PERMIT_SECONDS - RETURN_MARGIN_SECONDS
        if now >= until:
            return self._take_actions()
        if self.state not in ("low_weight", "ejected", "probing"):
            self._core.perform("release")
            return self._take_actions()
        self._permit_until = max(self._permit_until, until)
        if self.state == "low_weight":
            if self._ejected_until == -math.inf:
                self._ejected_until = now + self._backoff
            self._next_request = now + RENEW_SECONDS
            self._machine.permitted()
        return self._take_actions()

    def recalled(self, now: float) -> list[Action]:
        """Handles a recall of the permit."""
        self._check_permit(now)
        if self.ejected:
            self._end_permit(now)
        return self._take_actions()

    def probed(self, now: float, good: bool) -> list[Action]:
        """Handles the result of a probe.

        A probe is good if the target answered within `PROBE_LIMIT_SECONDS`.
        """
        self._check_permit(now)
        if self.state == "probing":
            self._good_probes = self._good_probes + 1 if good else 0
            if self._good_probes >= PROBES_NEEDED:
                self._since = now
                self._weight = 1.0
                self._permit_until = -math.inf
                self._machine.probes_good()
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Handles expired timers; called at least every 100 ms."""
        self._check_permit(now)
        match self.state:
            case "low_weight":
                self._tick_low_weight(now)
            case "ejected":
                self._renew(now)
                if now >= self._ejected_until:
                    self._good_probes = 0
                    self._next_probe = now + PROBE_SECONDS
                    self._machine.backoff_over()
            case "probing":
                self._renew(now)
                if now >= self._next_probe:
                    self._next_probe = now + PROBE_SECONDS
                    self._core.actions.append(Probe())
            case "slow_start":
                if now - self._since >= SLOW_START_SECONDS:
                    self._since = now
                    self._machine.ramp_over()
        return self._take_actions()

    def _tick_low_weight(self, now: float) -> None:
        if now - self._healthy_since >= HEALTHY_SECONDS:
            self._since = now
            self._weight = 1.0
            self._machine.recovered()
        elif now >= self._next_request:
            self._next_request = now + self._jitter(REQUEST_INTERVAL_SECONDS)
            self._core.request(False)

    def _renew(self, now: float) -> None:
        if now >= self._next_request:
            self._next_request = now + RENEW_SECONDS
            self._core.request(True)

    def _check_permit(self, now: float) -> None:
        self._core.now = now
        if self.ejected and now >= self._permit_until:
            self._end_permit(now)

    def _end_permit(self, now: float) -> None:
        self._permit_until = -math.inf
        self._healthy_since = math.inf
        self._next_request = now + self._jitter(REQUEST_INTERVAL_SECONDS)
        self._machine.permit_ended()

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.8, 1.2)

    def _take_actions(self) -> list[Action]:
        actions, self._core.actions = self._core.actions, []
        return actions
