"""Encodes messages into datagrams within the byte budget."""

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

# Keeps a datagram below 1,400 bytes, IPv4 and UDP headers included.
MAX_DATAGRAM_BYTES = 1370
# Upper bound of the envelope without its texts and short ids.
_ENVELOPE_BYTES = 48
_MAX_CLAIMS_BYTES = 600


@attrs.frozen
class Datagram:
    """Encoded message for one address."""

    data: bytes
    address: records.Address


@attrs.define
class Counters:
    """Traffic counters of an instance; bytes include UDP and IP headers.

    Attributes:
        ignored: Received datagrams that were malformed or had no valid sender.
        over_budget: Datagrams not sent because the byte budget was exhausted.
    """

    sent_datagrams: int = 0
    sent_bytes: int = 0
    received_datagrams: int = 0
    received_bytes: int = 0
    ignored: int = 0
    over_budget: int = 0


class Outbox:
    """Adds piggybacked data to messages, encodes them and charges the budget.

    Attributes:
        revision: Configuration revision that this instance runs.
        evacuations: Token of the evacuations that this instance knows.
    """

    def __init__(
        self,
        known: table.Table,
        queue: dissemination.DisseminationQueue,
        claims: dissemination.DisseminationQueue,
        broadcasts: broadcasting.Broadcasts,
        limit: budget.ByteBudget,
        counters: Counters,
    ):
        self.revision = 0
        self.evacuations = 0
        self._known = known
        self._queue = queue
        self._claims_queue = claims
        self._broadcasts = broadcasts
        self._budget = limit
        self._counters = counters

    def send(
        self,
        now: float,
        me: records.InstanceRecord,
        message: probing.OutgoingMessage,
        priority: budget.Priority,
        carried: Sequence[records.Record] = (),
    ) -> list[Datagram]:
        """Returns the datagram, or an empty list if the budget is exhausted."""
        if self._budget.available(now, priority) <= 0:
            self._counters.over_budget += 1
            return []
        recent: tuple[int, ...] = ()
        claims: tuple[tuple[int, int, bool], ...] = ()
        if isinstance(message.body, messages.Update) and not carried:
            claims = self._claims(now)
        elif isinstance(message.body, messages.Ping | messages.Ack):
            recent = self._broadcasts.recent(now)
            claims = self._claims(now)
            used = 5 * len(recent) + dissemination.CLAIM_BYTES * len(claims)
            carried = [*carried, *self._pick(now, me, carried, used)]
        content = messages.Message(
            me.id,
            me.incarnation,
            message.sequence,
            message.body,
            carried,
            recent,
            claims,
            self.revision,
            self.evacuations,
        )
        data = codec.encode(content, now)
        if len(data) > MAX_DATAGRAM_BYTES:
            # The size estimates hold only for names of ordinary length.
            data = codec.encode(attrs.evolve(content, carried=()), now)
        self._budget.spend(now, len(data))
        self._counters.sent_datagrams += 1
        self._counters.sent_bytes += len(data) + budget.HEADER_BYTES
        return [Datagram(data, message.address)]

    def _claims(self, now: float) -> tuple[tuple[int, int, bool], ...]:
        # Claims are short and must get through while broadcasts use the
        # reserve, so they have the priority of probes.
        allowed = self._budget.available(now, budget.Priority.PROBE)
        room = min(_MAX_CLAIMS_BYTES, int(allowed))
        return tuple(
            (record.content(), record.version, suspect)
            for record in self._claims_queue.pick(room, self._known.record)
            if isinstance(record, records.InstanceRecord)
            for suspect in [record.liveness is not records.Liveness.ALIVE]
        )

    def _pick(
        self,
        now: float,
        me: records.InstanceRecord,
        carried: Sequence[records.Record],
        used: int,
    ) -> list[records.Record]:
        used += _ENVELOPE_BYTES + len(me.id)
        used += sum(map(dissemination.estimated_size, carried))
        allowed = self._budget.available(now, budget.Priority.ORDINARY)
        room = min(MAX_DATAGRAM_BYTES - used, int(allowed))
        return self._queue.pick(room, self._known.record)


def split(
    items: Sequence[records.Record],
    limit: int = MAX_DATAGRAM_BYTES - 2 * _ENVELOPE_BYTES,
) -> list[list[records.Record]]:
    """Splits records into parts that each fit into `limit` bytes."""
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
