"""Records which targets have left, so that none of them is used again.

A heartbeat may arrive seconds late, also at a process that was started after
the target had left.
"""

import random
import struct
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from cicadafront import ports
from cicadafront.membership import handover
from cicadafront.telemetry import logs

TOPIC = "departures"
METHOD = "membership.departure"
# Instances that are asked to store a departure. The store may turn away a part
# of the instances.
ASKED_PEERS = 3
# Targets take an acknowledgement that comes after 1 s for a lost one, and the
# store has been waited for before.
CONFIRM_SECONDS = 0.35

_HEAD = struct.Struct("!QBB")
_MAX_INCARNATION = 2**64 - 1

_log = logs.Log("membership")


def encode(instance: str, target: str, incarnation: int) -> bytes:
    """Encodes the departure of a target.

    Args:
        instance: Id of the instance that it was local to.
        target: Id of the target.
        incarnation: Its incarnation.

    Raises:
        ValueError: An id is longer than 255 bytes, or the incarnation does
            not fit 64 bits.
    """
    names = instance.encode(), target.encode()
    if max(map(len, names)) > 255 or not 0 <= incarnation <= _MAX_INCARNATION:
        raise ValueError("an id or the incarnation of a departure is too long")
    head = _HEAD.pack(incarnation, len(names[0]), len(names[1]))
    return head + b"".join(names)


def decode(data: bytes) -> tuple[str, str, int]:
    """Decodes a departure to instance, target and incarnation.

    Raises:
        ValueError: The payload is malformed.
    """
    if len(data) < _HEAD.size:
        raise ValueError(f"departure of {len(data)} bytes is too short")
    incarnation, first, second = _HEAD.unpack_from(data)
    names = data[_HEAD.size :]
    if len(names) != first + second:
        raise ValueError(f"departure of {len(data)} bytes has a wrong length")
    return names[:first].decode(), names[first:].decode(), incarnation


class Departures:
    """Makes departures known to the processes that follow this one.

    They reach the next process of this instance through the store. The other
    instances, which learn of a departure with the record of the target, tell
    it as well, also while the store is away. If the store does not answer this
    instance, some others are asked to store the departure.

    Args:
        instance: Id of this instance.
        peers: Returns the ids of the other instances that can be reached.
        calls: Reaches the other instances.
        broadcaster: Reaches all of them, without an answer.
        facts: Hands the departures to new processes.
        recall: Called with the id and incarnation of a target of this
            instance that left before this process started.
        when_written: Returns a Deferred that fires when the store has the
            facts of this process, and fails after the seconds given.
        rng: Chooses the instances that are asked.
    """

    def __init__(
        self,
        instance: str,
        *,
        peers: Callable[[], list[str]],
        calls: ports.PeerCalls,
        broadcaster: ports.Broadcaster,
        facts: handover.Handover,
        recall: Callable[[str, int], None],
        when_written: Callable[[float], "defer.Deferred[None]"],
        rng: random.Random,
    ):
        self._instance = instance
        self._peers = peers
        self._calls = calls
        self._broadcaster = broadcaster
        self._facts = facts
        self._recall = recall
        self._when_written = when_written
        self._rng = rng
        facts.on_fact(TOPIC, self._restore)
        broadcaster.on_broadcast(TOPIC, self._received)
        calls.register(METHOD, self._store_for_peer)

    def record(self, target: str, incarnation: int) -> None:
        """Records that a target of this instance has left."""
        self._add(self._instance, target, incarnation, own=True)

    def observed(self, instance: str, target: str, incarnation: int) -> None:
        """Records that a target of another instance has left."""
        self._add(instance, target, incarnation, own=False)

    def _add(
        self, instance: str, target: str, incarnation: int, *, own: bool
    ) -> None:
        try:
            payload = encode(instance, target, incarnation)
        except ValueError as error:
            _log.warning(
                "a departure cannot be recorded.",
                target=target[:200],
                reason=str(error),
            )
            return
        self._facts.add(
            TOPIC, target.encode(), payload, own=own, concerns=instance
        )

    async def tell_peers(self, target: str) -> bool:
        """Tells the other instances of the departures of a target.

        Returns:
            Whether one of them has stored them within `CONFIRM_SECONDS`.
        """
        payloads = self._facts.own_payloads(TOPIC, target.encode())
        for payload in payloads:
            self._broadcaster.broadcast(TOPIC, payload)
        peers = self._peers()
        asked = self._rng.sample(peers, min(ASKED_PEERS, len(peers)))
        for payload in payloads:
            if not await self._ask(asked, payload):
                return False
        return bool(payloads)

    async def _ask(self, peers: list[str], payload: bytes) -> bool:
        if not peers:
            return False
        result: Any = await defer.DeferredList(
            [
                self._calls.call(peer, METHOD, payload, CONFIRM_SECONDS)
                for peer in peers
            ],
            fireOnOneCallback=True,
            consumeErrors=True,
        )
        # A list holds the failures of all calls.
        return not isinstance(result, list)

    def _store_for_peer(
        self, _caller: str, payload: bytes
    ) -> "defer.Deferred[bytes]":
        """Stores a departure for an instance that the store does not answer.

        Raises:
            ValueError: The payload is malformed.
        """
        self._add(*decode(payload), own=True)
        written = self._when_written(CONFIRM_SECONDS)
        return written.addCallback(lambda _: b"")

    def _received(self, payload: bytes) -> None:
        try:
            self.observed(*decode(payload))
        except ValueError as error:
            _log.warning("a departure is malformed.", reason=str(error))

    def _restore(self, payload: bytes, age: float) -> None:
        instance, target, incarnation = decode(payload)
        if instance == self._instance:
            _log.info(
                "a target left before the start.",
                target=target,
                incarnation=incarnation,
                age_seconds=round(age, 1),
            )
            self._recall(target, incarnation)
