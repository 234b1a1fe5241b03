"""Bookkeeping of urgent broadcasts: identity, repair and forwarding."""

import zlib
from collections import OrderedDict, deque

import attrs

from cicadafront.membership import messages, records

FANOUT = 4
# One push to 4 random peers leaves about exp(-4) = 2% of the instances out;
# the second one leaves 0.03%, which the offers on probes reach.
REPEAT_DELAY_SECONDS = 0.2
# How long a broadcast is offered to peers that may have missed it.
ADVERTISE_SECONDS = 5.0
# Longer, so that the last offers of a peer that got it later are recognised.
RETENTION_SECONDS = 10.0
# Short ids in one datagram, the newest ones.
MAX_RECENT = 16
# Serials of one origin that are told apart below the highest one; older ones
# count as seen.
DEDUPLICATION_WINDOW = 1024
# Origins (instance and incarnation) whose serials are remembered.
MAX_ORIGINS = 8192
# Forwards that wait for budget; the oldest is dropped, the repair covers it.
MAX_PENDING = 256
PENDING_SECONDS = 2.0


def short_id(message: messages.Broadcast) -> int:
    """Returns the 32-bit id by which peers offer and ask for a broadcast."""
    text = f"{message.origin}/{message.incarnation}/{message.serial}"
    return zlib.crc32(text.encode())


class SerialWindow:
    """Which serials of one origin were received."""

    def __init__(self) -> None:
        self._highest = 0
        self._seen: set[int] = set()

    def add(self, serial: int) -> bool:
        """Returns whether the serial is new, and remembers it."""
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
    """A broadcast that is still to be sent to one address."""

    message: messages.Broadcast
    address: records.Address
    expires: float


class Broadcasts:
    """Broadcasts seen, those still offered, and forwards not yet sent.

    Attributes:
        pending: Forwards that wait for budget.
        repeats: Broadcasts to push once more, with the time.
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
        """Returns a new broadcast of this instance."""
        self._serial += 1
        message = messages.Broadcast(
            origin.id, origin.incarnation, self._serial, topic, payload
        )
        self.record_if_new(now, message)
        return message

    def record_if_new(self, now: float, message: messages.Broadcast) -> bool:
        """Returns whether the broadcast is new, and remembers it."""
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
        """Returns the short ids of the newest broadcasts on offer."""
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
        """Returns those short ids of a peer's offer that are not known."""
        return tuple(id for id in ids if id not in self._retained)

    def get(self, id: int) -> messages.Broadcast | None:
        """Returns a broadcast that is still on offer."""
        entry = self._retained.get(id)
        return entry[1] if entry else None

    def _expire(self, now: float) -> None:
        while self._retained:
            id, (received, _) = next(iter(self._retained.items()))
            if now - received < RETENTION_SECONDS:
                return
            del self._retained[id]
