"""Queue of records that travel on probes and acknowledgements."""

from collections.abc import Callable

from cicadafront.membership import records, table

# Push to random peers leaves about exp(-6) = 0.25% of the instances without a
# record; the comparison of digests repairs those.
MAX_SENDS = 6
# A claim on the version of an instance record, in the packed encoding. After a
# partition, half of the fleet is judged anew; full records would take minutes.
CLAIM_BYTES = 10
# After a partition, half of the datagrams that carry claims are lost.
MAX_CLAIM_SENDS = 12
# Measured sizes in the packed encoding, rounded up: a record without its
# texts, and the owner's id and incarnation that are sent once per owner.
RECORD_OVERHEAD_BYTES = 52


def estimated_size(record: records.Record) -> int:
    """Returns an upper estimate of the encoded size in bytes."""
    if isinstance(record, records.InstanceRecord):
        texts = [record.id, record.data_centre, record.peer_address[0]]
    else:
        texts = [record.id, record.owner, record.service, record.address[0]]
    length = sum((len(text) + 12) * 9 // 8 for text in texts)
    return RECORD_OVERHEAD_BYTES + length


class DisseminationQueue:
    """Least sent records first, among these the most recent first."""

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
        """Adds a record, or starts again with one that has changed."""
        for level in self._levels:
            level.pop(key, None)
        self._levels[0][key] = None

    def pick(
        self,
        room: int,
        find: Callable[[table.Key], records.Record | None],
    ) -> list[records.Record]:
        """Takes records that fit into `room` bytes and counts their sending.

        Args:
            room: Bytes that the records may use together.
            find: Returns the current record of a key.
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
