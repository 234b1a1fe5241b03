"""Turns messages into datagrams within the byte budget."""

from collections.abc import Sequence

import attrs

from cicadafront.membership import (
    broadcasting,
    budget,
    codec,
    dissemination,
    messages,
    probing,
    records,
    table,
)

# With IPv4 and UDP headers, a datagram stays below 1,400 bytes.
MAX_DATAGRAM_BYTES = 1370
# Envelope without its texts and offers, rounded up.
_ENVELOPE_BYTES = 48


@attrs.frozen
class Datagram:
    """Bytes for one address."""

    data: bytes
    address: records.Address


@attrs.define
class Counters:
    """Traffic of an instance, UDP and IP headers included.

    Attributes:
        ignored: Received datagrams that were invalid or not for this fleet.
        held_back: Datagrams that the byte budget did not allow.
    """

    sent_datagrams: int = 0
    sent_bytes: int = 0
    received_datagrams: int = 0
    received_bytes: int = 0
    ignored: int = 0
    held_back: int = 0


class Outbox:
    """Adds records and offers to messages, encodes and accounts for them."""

    def __init__(
        self,
        known: table.Table,
        queue: dissemination.DisseminationQueue,
        broadcasts: broadcasting.Broadcasts,
        limit: budget.ByteBudget,
        counters: Counters,
    ):
        self._known = known
        self._queue = queue
        self._broadcasts = broadcasts
        self._budget = limit
        self._counters = counters

    def send(
        self,
        now: float,
        me: records.InstanceRecord,
        message: probing.Send,
        priority: budget.Priority,
        carried: Sequence[records.Record] = (),
    ) -> list[Datagram]:
        """Returns the datagram, or nothing if the budget is spent."""
        if self._budget.room(now, priority) <= 0:
            self._counters.held_back += 1
            return []
        recent: tuple[int, ...] = ()
        if isinstance(message.body, messages.Ping | messages.Ack):
            recent = self._broadcasts.recent(now)
            carried = [*carried, *self._pick(now, me, carried, recent)]
        content = messages.Message(
            me.id,
            me.incarnation,
            message.sequence,
            message.body,
            carried,
            recent,
        )
        data = codec.encode(content, now)
        if len(data) > MAX_DATAGRAM_BYTES:
            # The estimates of the sizes are upper bounds for ordinary names.
            data = codec.encode(attrs.evolve(content, carried=()), now)
        self._budget.spend(now, len(data))
        self._counters.sent_datagrams += 1
        self._counters.sent_bytes += len(data) + budget.HEADER_BYTES
        return [Datagram(data, message.address)]

    def _pick(
        self,
        now: float,
        me: records.InstanceRecord,
        carried: Sequence[records.Record],
        recent: tuple[int, ...],
    ) -> list[records.Record]:
        used = _ENVELOPE_BYTES + len(me.id) + 5 * len(recent)
        used += sum(map(dissemination.estimated_size, carried))
        allowed = self._budget.room(now, budget.Priority.ORDINARY)
        room = min(MAX_DATAGRAM_BYTES - used, int(allowed))
        return self._queue.pick(room, self._known.record)


def split(
    items: Sequence[records.Record],
    limit: int = MAX_DATAGRAM_BYTES - 2 * _ENVELOPE_BYTES,
) -> list[list[records.Record]]:
    """Divides records into parts that fit a datagram each."""
    parts: list[list[records.Record]] = []
    room = 0
    for record in items:
        size = dissemination.estimated_size(record)
        if not parts or size > room:
            parts.append([])
            room = limit
        parts[-1].append(record)
        room -= size
    return parts
