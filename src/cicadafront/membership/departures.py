"""Records which targets have left, so that none of them is used again.

A heartbeat may arrive seconds late, also at a process that was started after
the target had left.
"""

import struct
from collections.abc import Callable

from cicadafront import ports
from cicadafront.membership import handover
from cicadafront.telemetry import logs

TOPIC = "departures"

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
    """Tells the processes to come, and if need be the peers, who has left.

    A departure reaches the next process through the store. The peers hear of
    it only if the store does not answer: a fleet in which many targets come
    and go needs its byte budget for the targets that it can use.

    Args:
        instance: Id of this instance.
        broadcaster: Reaches the other instances.
        facts: Hands the departures to new processes.
        recall: Called with the id and incarnation of a target of this
            instance that left before this process started.
    """

    def __init__(
        self,
        instance: str,
        broadcaster: ports.Broadcaster,
        facts: handover.Handover,
        recall: Callable[[str, int], None],
    ):
        self._instance = instance
        self._broadcaster = broadcaster
        self._facts = facts
        self._recall = recall
        facts.on_fact(TOPIC, self._restore)
        broadcaster.on_broadcast(TOPIC, self._received)

    def record(self, target: str, incarnation: int) -> None:
        """Records that a target of this instance has left."""
        try:
            payload = encode(self._instance, target, incarnation)
        except ValueError as error:
            _log.warning(
                "a departure cannot be recorded.",
                target=target[:200],
                reason=str(error),
            )
            return
        self._facts.add(TOPIC, target.encode(), payload, own=True)

    def tell_peers(self, target: str) -> None:
        """Broadcasts the departures of a target of this instance."""
        for payload in self._facts.own_payloads(TOPIC, target.encode()):
            self._broadcaster.broadcast(TOPIC, payload)

    def _received(self, payload: bytes) -> None:
        try:
            _, target, _ = decode(payload)
        except ValueError as error:
            _log.warning("a departure is malformed.", reason=str(error))
            return
        self._facts.add(TOPIC, target.encode(), payload, own=False)

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
