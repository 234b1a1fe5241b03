"""Replaceable decisions of the entry, with simple defaults."""

import random
from collections.abc import Callable
from typing import Protocol

import attrs
from twisted.internet import defer

from cicadafront import errors, model
from cicadafront.config import model as config_model
from cicadafront.peer import exchange


@attrs.frozen
class Round:
    """Candidates that are asked in the same way, one after the other.

    Attributes:
        insist: How firmly agents are asked, such as
            `exchange.ALLOW_QUEUEING`.
        most: Number of candidates.
        near: Whether only targets of the own data centre are asked.
    """

    insist: int
    most: int
    near: bool = False


@attrs.frozen
class Asking:
    """How agents are asked to take one request.

    Attributes:
        rounds: Rounds in their order.
        large: Rounds before these for requests with a large body.
        free: Whether another agent may be asked without a part of the retry
            budget when the request has not reached a target.
        retry_errors: Whether a repeatable request whose target answers with
            a server error goes to another one.
        hedge_by_route: Whether hedges follow the latencies of the route and
            not those of the service.
        finish_withdrawn: Whether a request that a target has is finished
            when its key is withdrawn meanwhile.
        confirm: Whether agents on other instances ask before they hand a
            request over.
    """

    rounds: tuple[Round, ...] = (
        Round(exchange.ALLOW_QUEUEING, config_model.MAX_ATTEMPTS),
    )
    large: tuple[Round, ...] = ()
    free: bool = False
    retry_errors: bool = False
    hedge_by_route: bool = False
    confirm: bool = False
    finish_withdrawn: bool = False


class Picker(Protocol):
    """Chooses targets."""

    def pick(
        self, service: str, exclude: frozenset[str], now: float
    ) -> model.Target | None:
        """Returns a target of the service, or None if none can take work."""

    def doubted(self, target_id: str, until: float) -> None:
        """Avoids a target that its agent doubts until a time."""

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        """Notes the load that an agent reported."""


class RetryBudget(Protocol):
    """Bounds the share of requests that are attempts after the first."""

    def request(self, service: str, now: float, repeated: float = 0.0) -> None:
        """Notes a first attempt.

        Args:
            service: Service of the request.
            now: Time in seconds.
            repeated: Probability that a repeated request makes this one.
        """

    def try_retry(
        self, service: str, now: float
    ) -> "bool | defer.Deferred[bool]":
        """Takes one retry out of the budget, if there is one."""


class Hedges(Protocol):
    """Decides when a repeatable read gets a second attempt."""

    def delay(self, group: str) -> float | None:
        """Returns the seconds to wait for the head, or None for no hedge.

        Args:
            group: Requests that take about the same time: those of a service
                or of a route.
        """

    def answered(self, group: str, seconds: float) -> None:
        """Notes the time from the first attempt to the first head."""


class NoHedges:
    """Never makes a second attempt."""

    def delay(self, group: str) -> float | None:
        """Hedges nothing."""
        return None

    def answered(self, group: str, seconds: float) -> None:
        """Ignores the time."""


class Suspects(Protocol):
    """Requests that have crashed targets."""

    def check(self, account: str, fingerprint: bytes) -> None:
        """Raises `RequestCrashesTargetsError` for a refused request."""

    def lone_target(
        self, account: str, fingerprint: bytes, service: str
    ) -> str | None:
        """Returns the only target that may run a suspect, else None.

        Raises:
            RequestCrashesTargetsError: The request is refused.
        """


class NoSuspects:
    """Refuses nothing."""

    def check(self, account: str, fingerprint: bytes) -> None:
        """Accepts the request."""

    def lone_target(
        self, account: str, fingerprint: bytes, service: str
    ) -> str | None:
        """Suspects nothing."""
        return None


class LeastOfTwo:
    """Takes the less loaded of two random targets."""

    def __init__(
        self,
        targets: Callable[[str], list[model.Target]],
        rng: random.Random,
    ):
        self._targets = targets
        self._rng = rng
        self._loads: dict[str, exchange.Load] = {}

    def pick(
        self, service: str, exclude: frozenset[str], now: float
    ) -> model.Target | None:
        """Returns a serving target that is not excluded, or None."""
        serving = [
            target
            for target in self._targets(service)
            if target.state is model.TargetState.SERVING
            and target.id not in exclude
        ]
        if len(serving) > 2:
            serving = self._rng.sample(serving, 2)
        return min(serving, key=self._pressure, default=None)

    def doubted(self, target_id: str, until: float) -> None:
        """Ignores doubts."""

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        """Notes the load that an agent reported."""
        self._loads[target_id] = load

    def _pressure(self, target: model.Target) -> tuple[float, float]:
        load = self._loads.get(target.id, exchange.Load())
        busy = load.slots_in_use + load.queued
        return busy / max(1, target.slots), self._rng.random()


@attrs.define
class _Allowance:
    tokens: float
    at: float


class ShareBudget:
    """A share of the requests plus a constant rate, per service."""

    SHARE = 0.1
    PER_SECOND = 3.0
    # Retries saved up; bounds a burst after a quiet time.
    MOST = 30.0

    def __init__(self) -> None:
        self._allowances: dict[str, _Allowance] = {}

    def request(self, service: str, now: float, repeated: float = 0.0) -> None:
        """Notes a first attempt, whoever makes it."""
        allowance = self._refill(service, now)
        allowance.tokens = min(self.MOST, allowance.tokens + self.SHARE)

    def try_retry(self, service: str, now: float) -> bool:
        """Takes one retry out of the budget, if there is one."""
        allowance = self._refill(service, now)
        if allowance.tokens < 1:
            return False
        allowance.tokens -= 1
        return True

    def _refill(self, service: str, now: float) -> _Allowance:
        found = self._allowances.setdefault(
            service, _Allowance(self.PER_SECOND, now)
        )
        earned = max(0.0, now - found.at) * self.PER_SECOND
        found.tokens = min(self.MOST, found.tokens + earned)
        found.at = max(found.at, now)
        return found


def unavailable(service: str) -> errors.RequestError:
    """Returns the error for a service without a usable target."""
    return errors.NoTargetError(
        f"No target of service {service} can take the request; try again.",
        retry_after=1.0,
    )
