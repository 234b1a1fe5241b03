"""Tells all instances that the store has reverted to an older copy.

Only instances with a call in progress learn of it at once, which are those that
watch the configuration. Others would write again what the store has lost up to
10 s later, and a process that is killed until then writes nothing again.
"""

import random
import struct
from typing import Any, Protocol

from twisted.internet import defer
from twisted.python import failure

from cicadafront import ports
from cicadafront.telemetry import logs

TOPIC = "store era"
# Instances broadcast a new era after a random part of this time, unless another
# one has broadcast it before.
BROADCAST_SPREAD_SECONDS = 0.25
# Instances that hear of a new era read the store after a random part of this
# time: 300 instances make 600 reads a second, and the store supports 6,000.
READ_SPREAD_SECONDS = 0.5

_ERA = struct.Struct("!Q")

_log = logs.Log("store")


class EraStore(Protocol):
    """Part of `platform.store.Store` that is used here."""

    @property
    def era(self) -> int:
        """Era of the store; 0 until it is known."""

    def get(self, key: str) -> "defer.Deferred[ports.Versioned | None]":
        """Reads one key."""


class EraNotices:
    """Broadcasts new eras, and checks those of which others tell.

    The era in a broadcast is not taken over, since only responses of the store
    prove it: a wrong one would make this instance ignore the store.

    Args:
        store: The store.
        key: A key that exists in general, to be read.
        broadcaster: Reaches the other instances.
        clock: Twisted reactor or `task.Clock`.
        rng: Random source.
    """

    def __init__(
        self,
        store: EraStore,
        key: str,
        *,
        broadcaster: ports.Broadcaster,
        clock: Any,
        rng: random.Random,
    ):
        self._store = store
        self._key = key
        self._broadcaster = broadcaster
        self._clock = clock
        self._rng = rng
        # Highest era that was broadcast, by any instance.
        self._announced = 0
        self._reading = False
        broadcaster.on_broadcast(TOPIC, self._received)

    def store_reverted(self) -> None:
        """Handles a new era of the store."""
        seconds = self._rng.uniform(0, BROADCAST_SPREAD_SECONDS)
        self._clock.callLater(seconds, self._broadcast)

    def _broadcast(self) -> None:
        era = self._store.era
        if era > self._announced:
            self._announced = era
            self._broadcaster.broadcast(TOPIC, _ERA.pack(era))

    def _received(self, payload: bytes) -> None:
        if len(payload) != _ERA.size:
            _log.warning("a broadcast of the era of the store is malformed.")
            return
        (era,) = _ERA.unpack(payload)
        self._announced = max(self._announced, era)
        if era > self._store.era and not self._reading:
            self._reading = True
            seconds = self._rng.uniform(0, READ_SPREAD_SECONDS)
            self._clock.callLater(seconds, self._check, era)

    def _check(self, era: int) -> None:
        self._reading = False
        if era > self._store.era:
            self._store.get(self._key).addErrback(_log_failure)


def _log_failure(reason: failure.Failure) -> None:
    _log.info(
        "failed to check the era of the store.",
        reason=reason.getErrorMessage(),
    )
