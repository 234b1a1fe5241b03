"""Journal of begun idempotency keys, written to the store in batches.

An entry is the number of a shard (1 byte) and a digest of account and key
(8 bytes). A segment is extended by compare-and-swap. If a write gets no
answer, a new segment is started, because the old write may still take effect
and must not replace newer contents.
"""

import collections
import hashlib
import math

import attrs

BATCH_SECONDS = 0.02
WRITES_PER_SECOND = 4.0
WRITE_BURST = 20.0
SEGMENT_BYTES = 64 * 1024
DIGEST_BYTES = 8
ENTRY_BYTES = 1 + DIGEST_BYTES
# Segments are deleted once all of their keys are older than the lifetime of
# records.
SEGMENT_RETENTION_SECONDS = 25 * 3600.0


def digest(account: str, key: str) -> bytes:
    """Returns the digest that identifies a key in the journal."""
    text = f"{len(account)}:{account}{key}".encode()
    return hashlib.sha256(text).digest()[:DIGEST_BYTES]


def entries(value: bytes) -> list[tuple[int, bytes]]:
    """Decodes a segment into pairs of shard number and digest."""
    return [
        (value[start], value[start + 1 : start + ENTRY_BYTES])
        for start in range(0, len(value) - ENTRY_BYTES + 1, ENTRY_BYTES)
    ]


@attrs.frozen
class Write:
    """A write of a segment that replaces version `expected`."""

    key: str
    value: bytes
    expected: int


class Journal:
    """Journal entries of one process and the writes that store them.

    Attributes:
        appended: Number of entries appended so far.
        stored: Number of entries that are confirmed to be in the store.
        failing: Whether the last write got no answer.
    """

    def __init__(self, prefix: str):
        self.appended = 0
        self.stored = 0
        self.failing = False
        self._prefix = prefix
        self._queue: collections.deque[bytes] = collections.deque()
        self._segment = 0
        self._content = b""
        self._version = 0
        self._in_flight: Write | None = None
        self._next = -math.inf
        self._tokens = WRITE_BURST
        self._updated = -math.inf
        self._ended: collections.deque[tuple[float, str]] = collections.deque()

    @property
    def complete(self) -> bool:
        """Whether all entries are confirmed to be in the store."""
        return self.stored == self.appended

    def append(self, shard: int, key: bytes) -> int:
        """Adds an entry and returns its position.

        The entry is stored once `stored` reaches that position.
        """
        self._queue.append(bytes([shard]) + key)
        self.appended += 1
        return self.appended

    def next_write(self, now: float) -> Write | None:
        """Returns the write that is due, if any."""
        if not self._queue or self._in_flight or now < self._next:
            return None
        if self._updated > -math.inf:
            gained = (now - self._updated) * WRITES_PER_SECOND
            self._tokens = min(WRITE_BURST, self._tokens + gained)
        self._updated = now
        if self._tokens < 1:
            return None
        self._tokens -= 1
        self._next = now + BATCH_SECONDS
        if len(self._content) + ENTRY_BYTES > SEGMENT_BYTES:
            self._roll(now)
        room = (SEGMENT_BYTES - len(self._content)) // ENTRY_BYTES
        batch = [self._queue[i] for i in range(min(room, len(self._queue)))]
        self._in_flight = Write(
            f"{self._prefix}{self._segment:08d}",
            self._content + b"".join(batch),
            self._version,
        )
        return self._in_flight

    def written(self, version: int) -> None:
        """Handles the success of the write in flight."""
        assert self._in_flight is not None
        added = len(self._in_flight.value) - len(self._content)
        for _ in range(added // ENTRY_BYTES):
            self._queue.popleft()
        self.stored += added // ENTRY_BYTES
        self._content = self._in_flight.value
        self._version = version
        self._in_flight = None
        self.failing = False

    def failed(self, now: float, delay: float) -> None:
        """Handles a write without an answer.

        The entries are written to a new segment after `delay` seconds.
        """
        self._in_flight = None
        self.failing = True
        self._roll(now)
        self._next = now + delay

    def expired(self, now: float) -> list[str]:
        """Returns and forgets the store keys of expired segments."""
        keys = []
        while (
            self._ended and now >= self._ended[0][0] + SEGMENT_RETENTION_SECONDS
        ):
            keys.append(self._ended.popleft()[1])
        return keys

    def _roll(self, now: float) -> None:
        self._ended.append((now, f"{self._prefix}{self._segment:08d}"))
        self._segment += 1
        self._content = b""
        self._version = 0
