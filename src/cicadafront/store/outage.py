"""Spaces calls to the store out while it is away and when it returns."""

import random
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet import defer, task

from cicadafront import errors, ports

T = TypeVar("T")

FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
# About 66 instances of a fleet use the store (18 watchers, 48 owners). With
# 5 calls a second each they stay below the several hundred writes a second
# that the store takes.
RETURN_CALLS_PER_SECOND = 5.0
RETURN_BURST_CALLS = 5.0
RETURN_PERIOD_SECONDS = 30.0
MAX_BUDGET_WAIT_SECONDS = 5.0


class OutageStore:
    """A `Store` that refuses calls at once while another store is away.

    After a failed call, all calls fail without being sent until a jittered
    delay has passed; then one call goes through to test the store. For 30 s
    after its return, calls share a budget and wait for their turn.

    Args:
        store: The store.
        clock: Twisted reactor or `task.Clock`.
        rng: Source of jitter.
        max_backoff: Longest delay between tests, in seconds.

    Attributes:
        away_since: Time of the first failed call of the outage, in seconds
            of the clock, or None while the store answers.
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
        self._testing = False
        self._returned_at: float | None = None
        self._tokens = 0.0
        self._tokens_at = 0.0
        self.away_since: float | None = None

    def get(self, key: str) -> defer.Deferred[ports.Versioned | None]:
        """Reads one key."""
        return self._guarded(lambda: self._store.get(key))

    def list(self, prefix: str) -> defer.Deferred[dict[str, ports.Versioned]]:
        """Reads all keys with a prefix."""
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
        """Deletes a key, with `expected` only at that version."""
        return self._guarded(lambda: self._store.delete(key, expected))

    def watch(
        self, key: str, after: int, timeout: float
    ) -> defer.Deferred[ports.Versioned | None]:
        """Waits until the version exceeds `after`; None after the timeout."""
        return defer.ensureDeferred(self._watch(key, after, timeout))

    async def _watch(
        self, key: str, after: int, timeout: float
    ) -> ports.Versioned | None:
        if self.away_since is not None:
            # A waiting watch would tell only after its timeout that the
            # store is back; a read tells at once.
            await self.get(key)
        return await self._guarded(
            lambda: self._store.watch(key, after, timeout)
        )

    def grant_lease(self, ttl: float) -> defer.Deferred[str]:
        """Creates a lease and returns its id."""
        return self._guarded(lambda: self._store.grant_lease(ttl))

    def renew_lease(self, lease: str) -> defer.Deferred[None]:
        """Renews a lease; fails with `StoreConflictError` once it lapsed."""
        return self._guarded(lambda: self._store.renew_lease(lease))

    def revoke_lease(self, lease: str) -> defer.Deferred[None]:
        """Ends a lease; keys attached to it are deleted."""
        return self._guarded(lambda: self._store.revoke_lease(lease))

    def _guarded(
        self, call: Callable[[], defer.Deferred[T]]
    ) -> defer.Deferred[T]:
        return defer.ensureDeferred(self._run(call))

    async def _run(self, call: Callable[[], defer.Deferred[T]]) -> T:
        test = self.away_since is not None
        if test:
            self._claim_test()
        else:
            await self._take_budget()
        try:
            result = await call()
        except errors.StoreUnavailableError:
            self._failed()
            raise
        except errors.CicadafrontError:
            self._answered()
            raise
        finally:
            if test:
                self._testing = False
        self._answered()
        return result

    def _claim_test(self) -> None:
        if self._testing or self._clock.seconds() < self._next_attempt:
            raise errors.StoreUnavailableError(
                f"the store is away since {self.away_since:.1f} s; the call"
                " was not sent, try again later"
            )
        self._testing = True

    def _failed(self) -> None:
        now = self._clock.seconds()
        if self.away_since is None:
            self.away_since = now
        elif now < self._next_attempt:
            return  # one of several calls that failed together
        ceiling = min(
            self._max_backoff, FIRST_BACKOFF_SECONDS * 2**self._failures
        )
        self._failures = min(self._failures + 1, 10)
        wait = max(
            FIRST_BACKOFF_SECONDS, ceiling * self._random.uniform(0.5, 1)
        )
        self._next_attempt = now + wait

    def _answered(self) -> None:
        if self.away_since is None:
            return
        self.away_since = None
        self._failures = 0
        self._returned_at = self._tokens_at = self._clock.seconds()
        self._tokens = RETURN_BURST_CALLS

    async def _take_budget(self) -> None:
        now = self._clock.seconds()
        if (
            self._returned_at is None
            or now - self._returned_at > RETURN_PERIOD_SECONDS
        ):
            self._returned_at = None
            return
        earned = (now - self._tokens_at) * RETURN_CALLS_PER_SECOND
        self._tokens = min(RETURN_BURST_CALLS, self._tokens + earned)
        self._tokens_at = now
        wait = (1 - self._tokens) / RETURN_CALLS_PER_SECOND
        if wait > MAX_BUDGET_WAIT_SECONDS:
            raise errors.StoreUnavailableError(
                "too many calls wait for the store after its return; the call"
                " was not sent, try again later"
            )
        # The count goes below zero: waiting calls have taken their turn.
        self._tokens -= 1
        if wait > 0:
            await task.deferLater(self._clock, wait)
