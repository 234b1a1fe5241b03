"""Policies of the edge: interfaces and simple default implementations."""

import random
from collections.abc import Callable
from typing import Protocol

import attrs
from twisted.internet import defer

from cicadafront import errors, model
from cicadafront.config import model as config_model
from cicadafront.peer import exchange


@attrs.frozen
class DispatchRound:
    """Candidates that are tried one after the other on the same terms.

    Attributes:
        insist: Dispatch level that is sent to agents: a free slot, a place in
            a queue, or also a suspended target. See
            `exchange.ALLOW_QUEUEING`.
        max_candidates: Largest number of candidates.
        local_only: Whether only targets of the local data centre are tried.
        places: Number of candidates that are asked at the same time. The first
            that has a free slot runs the request; the other places are given
            up. Only agents that wait for a confirmation are asked so.
    """

    insist: int
    max_candidates: int
    local_only: bool = False
    places: int = 1


@attrs.frozen
class DispatchPolicy:
    """Rules for finding an agent that accepts a request.

    Attributes:
        rounds: Dispatch rounds in their order.
        large_fleet_rounds: Replaces `rounds` in a large fleet.
        is_large_fleet: Returns whether the fleet counts as large now.
        large_body_rounds: Rounds that come first for requests with a large
            body.
        free_redispatch: Whether a request that has not reached a target may be
            sent to another agent without charging the retry budget.
        retry_server_errors: Whether a repeatable request is retried at another
            target after a 5xx response.
        hedge_by_route: Whether the hedge delay follows the latencies of the
            route instead of those of the service.
        finish_with_withdrawn_key: Whether a request that is already at a
            target is completed when its key is withdrawn.
        confirm: Whether agents on other instances wait for a confirmation
            before they hand the request to the target.
    """

    rounds: tuple[DispatchRound, ...] = (
        DispatchRound(exchange.ALLOW_QUEUEING, config_model.MAX_ATTEMPTS),
    )
    large_fleet_rounds: tuple[DispatchRound, ...] = ()
    is_large_fleet: Callable[[], bool] = lambda: False
    large_body_rounds: tuple[DispatchRound, ...] = ()
    free_redispatch: bool = False
    retry_server_errors: bool = False
    hedge_by_route: bool = False
    confirm: bool = False
    finish_with_withdrawn_key: bool = False


class Picker(Protocol):
    """Chooses the target of an attempt (load balancing)."""

    def pick(
        self, service: str, exclude: frozenset[str], now: float
    ) -> model.Target | None:
        """Returns a target of the service, or None if none is usable.

        Args:
            service: Service of the request.
            exclude: Ids of targets that must not be chosen.
            now: Time in seconds.
        """

    def avoid_until(self, target_id: str, until: float) -> None:
        """Avoids a target until a time, because its agent suspects a fault."""

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        """Records the load that an agent reported."""


class RetryBudget(Protocol):
    """Limits the share of attempts that are retries or hedges."""

    def request(self, service: str, now: float, repeated: float = 0.0) -> None:
        """Records a first attempt.

        Args:
            service: Service of the request.
            now: Time in seconds.
            repeated: Probability that a retried request sent this one.
        """

    def try_retry(
        self, service: str, now: float
    ) -> "bool | defer.Deferred[bool]":
        """Takes one retry out of the budget; returns whether it is granted.

        Args:
            service: Service of the request.
            now: Time in seconds.
        """


class Hedges(Protocol):
    """Decides when a repeatable read is hedged."""

    def delay(self, group: str) -> float | None:
        """Returns the delay of a hedge in seconds, or None for no hedge.

        The hedge is sent if no response head arrives within the delay.

        Args:
            group: Id of a service or a route, whose requests are assumed to
                take about the same time.
        """

    def answered(self, group: str, seconds: float) -> None:
        """Records the seconds from the first attempt to the first head."""


class NoHedges:
    """Disables hedging."""

    def delay(self, group: str) -> float | None:
        """Returns None: there is no hedge."""
        return None

    def answered(self, group: str, seconds: float) -> None:
        """Ignores the time."""


class Suspects(Protocol):
    """Requests that are suspected of crashing targets."""

    def check(self, account: str, fingerprint: bytes) -> None:
        """Checks whether a request may run.

        Raises:
            RequestCrashesTargetsError: The request is refused.
        """

    def isolated_target(
        self, account: str, fingerprint: bytes, service: str
    ) -> str | None:
        """Returns the only target that may run a suspected request.

        Returns:
            Id of the target, or None if the request is not suspected.

        Raises:
            RequestCrashesTargetsError: The request is refused.
        """


class NoSuspects:
    """Suspects and refuses no request."""

    def check(self, account: str, fingerprint: bytes) -> None:
        """Accepts the request."""

    def isolated_target(
        self, account: str, fingerprint: bytes, service: str
    ) -> str | None:
        """Returns None: no request is suspected."""
        return None


class PowerOfTwoChoices:
    """Picks the less loaded of two random targets (power of two choices)."""

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
        return min(serving, key=self._load_per_slot, default=None)

    def avoid_until(self, target_id: str, until: float) -> None:
        """Does nothing."""

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        """Records the load that an agent reported."""
        self._loads[target_id] = load

    def _load_per_slot(self, target: model.Target) -> tuple[float, float]:
        load = self._loads.get(target.id, exchange.Load())
        busy = load.slots_in_use + load.queued
        return busy / max(1, target.slots), self._rng.random()


@attrs.define
class _TokenBucket:
    tokens: float
    refilled_at: float


class RatioRetryBudget:
    """Allows retries for a share of the requests plus a constant rate.

    Each service has its own token bucket.
    """

    RATIO = 0.1
    PER_SECOND = 3.0
    # Capacity of the bucket; limits a burst of retries after an idle period.
    MAX_TOKENS = 30.0

    def __init__(self) -> None:
        self._buckets: dict[str, _TokenBucket] = {}

    def request(self, service: str, now: float, repeated: float = 0.0) -> None:
        """Records a first attempt, whoever sends it."""
        bucket = self._refill(service, now)
        bucket.tokens = min(self.MAX_TOKENS, bucket.tokens + self.RATIO)

    def try_retry(self, service: str, now: float) -> bool:
        """Takes one retry out of the budget; returns whether it is granted."""
        bucket = self._refill(service, now)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _refill(self, service: str, now: float) -> _TokenBucket:
        bucket = self._buckets.setdefault(
            service, _TokenBucket(self.PER_SECOND, now)
        )
        earned = max(0.0, now - bucket.refilled_at) * self.PER_SECOND
        bucket.tokens = min(self.MAX_TOKENS, bucket.tokens + earned)
        bucket.refilled_at = max(bucket.refilled_at, now)
        return bucket


def unavailable(service: str) -> errors.RequestError:
    """Returns the error for a service that has no usable target."""
    return errors.NoTargetError(
        f"No target of service {service} can take the request; try again.",
        retry_after=1.0,
    )
