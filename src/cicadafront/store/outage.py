"""Circuit breaker with backoff and a rate limit for calls to the store."""

import random
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet import defer, task

from cicadafront import errors, ports

T = TypeVar("T")

FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
# About 66 instances of a fleet use the store (18 watchers, 48 owners). At 5
# calls per second each, they stay below the several hundred writes per second
# that the store can handle.
RECOVERY_CALLS_PER_SECOND = 5.0
RECOVERY_BURST_CALLS = 5.0
RECOVERY_PERIOD_SECONDS = 30.0
MAX_TOKEN_WAIT_SECONDS = 5.0


class CircuitBreakerStore:
    """A `Store` that rejects calls while the underlying store is unavailable.

    After a failed call, all calls fail without being sent until a jittered
    exponential backoff has passed; then one call is sent to probe the store.
    For 30 s after the store has recovered, a token bucket limits the rate of
    calls.

    Args:
        store: The underlying store.
        clock: Twisted reactor or `task.Clock`.
        rng: Source of jitter.
        max_backoff: Longest delay between probes, in seconds.

    Attributes:
        unavailable_since: Clock time of the first failed call of the outage,
            in seconds, or None while the store is available.
    """

    def __init__(
        self,
        store: ports.Store,
        clock: Any,
        rng: random.Random,
        max_backoff: float = MAX_BACKOFF_SECONDS,
    ):
        self._store = store
        self._clock = clock
        self._random = rng
        self._max_backoff = max_backoff
        self._failures = 0
        self._next_attempt = 0.0
        self._probing = False
        self._recovered_at: float | None = None
        self._tokens = 0.0
        self._refilled_at = 0.0
        self.unavailable_since: float | None = None

    def get(self, key: str) -> defer.Deferred[ports.Versioned | None]:
        """Reads a key; returns None if it does not exist."""
        return self._guarded(lambda: self._store.get(key))

    def list(self, prefix: str) -> defer.Deferred[dict[str, ports.Versioned]]:
        """Reads all keys that start with a prefix."""
        return self._guarded(lambda: self._store.list(prefix))

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: str = "",
    ) -> defer.Deferred[int]:
        """Writes a key and returns its new version."""
        return self._guarded(
            lambda: self._store.put(key, value, expected, lease)
        )

    def delete(
        self, key: str, expected: int | None = None
    ) -> defer.Deferred[None]:
        """Deletes a key; with `expected`, only at that version."""
        return self._guarded(lambda: self._store.delete(key, expected))

    def watch(
        self, key: str, after: int, timeout: float
    ) -> defer.Deferred[ports.Versioned | None]:
        """Waits until the version exceeds `after`; None after the timeout."""
        return defer.ensureDeferred(self._watch(key, after, timeout))

    async def _watch(
        self, key: str, after: int, timeout: float
    ) -> ports.Versioned | None:
        if self.unavailable_since is not None:
            # A watch would show only after its timeout that the store has
            # recovered; a read shows it at once.
            await self.get(key)
        return await self._guarded(
            lambda: self._store.watch(key, after, timeout)
        )

    def grant_lease(self, ttl: float) -> defer.Deferred[str]:
        """Creates a lease of `ttl` seconds and returns its id."""
        return self._guarded(lambda: self._store.grant_lease(ttl))

    def renew_lease(self, lease: str) -> defer.Deferred[None]:
        """Renews a lease; fails with `StoreConflictError` once it expired."""
        return self._guarded(lambda: self._store.renew_lease(lease))

    def revoke_lease(self, lease: str) -> defer.Deferred[None]:
        """Revokes a lease; the keys attached to it are deleted."""
        return self._guarded(lambda: self._store.revoke_lease(lease))

    def _guarded(
        self, call: Callable[[], defer.Deferred[T]]
    ) -> defer.Deferred[T]:
        return defer.ensureDeferred(self._run(call))

    async def _run(self, call: Callable[[], defer.Deferred[T]]) -> T:
        probe = self.unavailable_since is not None
        if probe:
            self._start_probe()
        else:
            await self._take_token()
        try:
            result = await call()
        except errors.StoreUnavailableError:
            self._record_failure()
            raise
        except errors.CicadafrontError:
            self._record_success()
            raise
        finally:
            if probe:
                self._probing = False
        self._record_success()
        return result

    def _start_probe(self) -> None:
        if self._probing or self._clock.seconds() < self._next_attempt:
            raise errors.StoreUnavailableError(
                f"the store is unavailable since {self.unavailable_since:.1f}"
                " s; the call was not sent, try again later"
            )
        self._probing = True

    def _record_failure(self) -> None:
        now = self._clock.seconds()
        if self.unavailable_since is None:
            self.unavailable_since = now
        elif now < self._next_attempt:
            return  # several calls in flight fail together; count them once
        ceiling = min(
            self._max_backoff, FIRST_BACKOFF_SECONDS * 2**self._failures
        )
        self._failures = min(self._failures + 1, 10)
        wait = max(
            FIRST_BACKOFF_SECONDS, ceiling * self._random.uniform(0.5, 1)
        )
        self._next_attempt = now + wait

    def _record_success(self) -> None:
        if self.unavailable_since is None:
            return
        self.unavailable_since = None
        self._failures = 0
        self._recovered_at = self._refilled_at = self._clock.seconds()
        self._tokens = RECOVERY_BURST_CALLS

    async def _take_token(self) -> None:
        now = self._clock.seconds()
        if (
            self._recovered_at is None
            or now - self._recovered_at > RECOVERY_PERIOD_SECONDS
        ):
            self._recovered_at = None
            return
        refill = (now - self._refilled_at) * RECOVERY_CALLS_PER_SECOND
        self._tokens = min(RECOVERY_BURST_CALLS, self._tokens + refill)
        self._refilled_at = now
        wait = (1 - self._tokens) / RECOVERY_CALLS_PER_SECOND
        if wait > MAX_TOKEN_WAIT_SECONDS:
            raise errors.StoreUnavailableError(
                "too many calls wait for the store after an outage; the call"
                " was not sent, try again later"
            )
        # Negative tokens are reservations of calls that wait.
        self._tokens -= 1
        if wait > 0:
            await task.deferLater(self._clock, wait)
