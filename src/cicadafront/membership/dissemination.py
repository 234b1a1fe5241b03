"""Queue of records to piggyback on probes and acknowledgements."""

from collections.abc import Callable

from cicadafront.membership import records, table

# Sending a record to random peers leaves about exp(-6) = 0.25% of the instances
# without it; anti-entropy repairs those.
MAX_SENDS = 6
# Packed size of a claim, which is a compact update of an instance record. A
# partition changes the liveness of half of the fleet; sending that many full
# records would take minutes.
CLAIM_BYTES = 10
# Higher than `MAX_SENDS`: half of the datagrams that carry claims after a
# partition are lost.
MAX_CLAIM_SENDS = 12
# Upper bound of the packed size of a record without its texts, including the id
# and incarnation of the owner, which are sent once per owner.
RECORD_OVERHEAD_BYTES = 52


def estimated_size(record: records.Record) -> int:
    """Returns an upper bound of the encoded size in bytes."""
    if isinstance(record, records.InstanceRecord):
        texts = [record.id, record.data_centre, record.peer_address[0]]
    else:
        texts = [record.id, record.owner, record.service, record.address[0]]
    length = sum((len(text) + 12) * 9 // 8 for text in texts)
    return RECORD_OVERHEAD_BYTES + length


class DisseminationQueue:
    """Records by number of sends; those with equal numbers newest first."""

    def __init__(
        self,
        size: Callable[[records.Record], int] = estimated_size,
        sends: int = MAX_SENDS,
    ) -> None:
        self._size = size
        self._levels: list[dict[table.Key, None]] = [{} for _ in range(sends)]

    def __len__(self) -> int:
        return sum(len(level) for level in self._levels)

    def add(self, key: table.Key) -> None:
        """Adds a record, or resets the send count of a changed one."""
        for level in self._levels:
            level.pop(key, None)
        self._levels[0][key] = None

    def pick(
        self,
        room: int,
        find: Callable[[table.Key], records.Record | None],
    ) -> list[records.Record]:
        """Selects records that fit into `room` bytes and counts the send.

        Args:
            room: Total size limit in bytes.
            find: Returns the current record of a key, or None.
        """
        picked: list[records.Record] = []
        sent: list[tuple[int, table.Key]] = []
        for number, level in enumerate(self._levels):
            for key in reversed(level):
                record = find(key)
                size = self._size(record) if record else 0
                if size > room:
                    break
                room -= size
                sent.append((number, key))
                if record:
                    picked.append(record)
        self._advance(sent, find)
        return picked

    def _advance(
        self,
        sent: list[tuple[int, table.Key]],
        find: Callable[[table.Key], records.Record | None],
    ) -> None:
        for number, key in reversed(sent):
            del self._levels[number][key]
            if number + 1 < len(self._levels) and find(key) is not None:
                self._levels[number + 1][key] = None
