"""State of urgent broadcasts: deduplication, repair and forwarding."""

import zlib
from collections import OrderedDict, deque

import attrs

from cicadafront.membership import messages, records

FANOUT = 4
# One push to 4 random peers misses about exp(-4) = 2% of the instances. The
# second push reduces this to 0.03%; these instances find the broadcast in the
# short ids that probes carry.
REPEAT_DELAY_SECONDS = 0.2
# Time for which probes and acknowledgements carry the short id of a broadcast.
ADVERTISE_SECONDS = 5.0
# Longer than the advertising time: a peer that received the broadcast later
# advertises it for longer, and its short id must still be recognised.
RETENTION_SECONDS = 10.0
# Short ids in one datagram; the newest are sent.
MAX_RECENT = 16
# Serials below the highest one of an origin that are tracked one by one; older
# ones count as duplicates.
DEDUPLICATION_WINDOW = 1024
# Origins (instance and incarnation) whose serials are tracked.
MAX_ORIGINS = 8192
# Limit on queued forwards. Beyond it the oldest is dropped; receivers then
# request the broadcast by its short id.
MAX_PENDING = 256
PENDING_SECONDS = 2.0


def short_id(message: messages.Broadcast) -> int:
    """Returns the 32-bit id that advertises and requests a broadcast."""
    text = f"{message.origin}/{message.incarnation}/{message.serial}"
    return zlib.crc32(text.encode())


class SerialWindow:
    """Tracks the received serials of one origin to detect duplicates."""

    def __init__(self) -> None:
        self._highest = 0
        self._seen: set[int] = set()

    def add(self, serial: int) -> bool:
        """Records a serial; returns whether it is new."""
        if (
            serial <= self._highest - DEDUPLICATION_WINDOW
            or serial in self._seen
        ):
            return False
        self._seen.add(serial)
        if serial > self._highest:
            self._highest = serial
            if len(self._seen) > 2 * DEDUPLICATION_WINDOW:
                floor = serial - DEDUPLICATION_WINDOW
                self._seen = {seen for seen in self._seen if seen > floor}
        return True


@attrs.frozen
class Forward:
    """A broadcast that is queued for one address."""

    message: messages.Broadcast
    address: records.Address
    expires: float


class Broadcasts:
    """Received broadcasts, advertised broadcasts, and queued forwards.

    Attributes:
        pending: Forwards that wait for the byte budget.
        repeats: Broadcasts to push a second time, with the due time.
    """

    def __init__(self) -> None:
        self.pending: deque[Forward] = deque(maxlen=MAX_PENDING)
        self.repeats: deque[tuple[float, messages.Broadcast]] = deque(
            maxlen=MAX_PENDING
        )
        self._windows: OrderedDict[tuple[str, int], SerialWindow] = (
            OrderedDict()
        )
        self._retained: dict[int, tuple[float, messages.Broadcast]] = {}
        self._serial = 0

    def create(
        self,
        now: float,
        origin: records.InstanceRecord,
        topic: str,
        payload: bytes,
    ) -> messages.Broadcast:
        """Creates a broadcast of this instance and records it as received."""
        self._serial += 1
        message = messages.Broadcast(
            origin.id, origin.incarnation, self._serial, topic, payload
        )
        self.record_if_new(now, message)
        return message

    def record_if_new(self, now: float, message: messages.Broadcast) -> bool:
        """Records a broadcast; returns whether it is new."""
        origin = message.origin, message.incarnation
        window = self._windows.setdefault(origin, SerialWindow())
        self._windows.move_to_end(origin)
        if len(self._windows) > MAX_ORIGINS:
            self._windows.popitem(last=False)
        if not window.add(message.serial):
            return False
        self._retained[short_id(message)] = (now, message)
        return True

    def recent(self, now: float) -> tuple[int, ...]:
        """Returns the short ids of the newest advertised broadcasts."""
        self._expire(now)
        ids: list[int] = []
        for id in reversed(self._retained):
            if (
                len(ids) == MAX_RECENT
                or now - self._retained[id][0] > ADVERTISE_SECONDS
            ):
                break
            ids.append(id)
        return tuple(ids)

    def missing(self, ids: tuple[int, ...]) -> tuple[int, ...]:
        """Returns those of a peer's short ids that are unknown here."""
        return tuple(id for id in ids if id not in self._retained)

    def get(self, id: int) -> messages.Broadcast | None:
        """Returns a retained broadcast, or None."""
        entry = self._retained.get(id)
        return entry[1] if entry else None

    def _expire(self, now: float) -> None:
        while self._retained:
            id, (received, _) = next(iter(self._retained.items()))
            if now - received < RETENTION_SECONDS:
                return
            del self._retained[id]
