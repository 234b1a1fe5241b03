"""What the entry keeps of a request and of its answer."""

import hashlib

from cicadafront import headers, model, ports

# Largest body that can be sent again after a target may have run it, and
# largest answer that is kept for a request with an idempotency key.
HELD_BYTES = 64 * 1024
# Part of the body that goes into the fingerprint.
FINGERPRINT_BYTES = 16 * 1024


class HeldBody:
    """The request body while it can still be sent to another target.

    Up to `HELD_BYTES` it is kept whole. A larger one is kept only until a
    target takes a part of it, which flow control bounds to one window.

    Attributes:
        size: Bytes that have arrived.
        complete: Whether the body has ended.
        dropped: Whether the start of the body is gone.
    """

    def __init__(self) -> None:
        self.size = 0
        self.complete = False
        self.dropped = False
        self._taken = 0
        self._pieces: list[bytes] = []

    def add(self, data: bytes) -> None:
        """Takes a piece of the body."""
        self.size += len(data)
        if not self.dropped:
            self._pieces.append(data)
            self._trim()

    def take(self, total: int) -> int:
        """Notes that a target took `total` bytes; returns the new ones."""
        fresh = max(0, total - self._taken)
        self._taken += fresh
        self._trim()
        return fresh

    def whole(self) -> bool:
        """Whether the complete body is held."""
        return self.complete and not self.dropped and self.size <= HELD_BYTES

    def pieces(self) -> tuple[bytes, ...]:
        """Returns the held pieces."""
        return tuple(self._pieces)

    def start(self, size: int) -> bytes:
        """Returns the first bytes of the body."""
        return b"".join(self._pieces)[:size]

    def _trim(self) -> None:
        if self._taken and self.size > HELD_BYTES:
            self.dropped = True
            self._pieces.clear()


class AnswerCopy:
    """Copies an answer for the record of its request."""

    def __init__(self, head: model.ResponseHead):
        self._head = head
        self._digest = hashlib.sha256()
        self._pieces: list[bytes] = []
        self._size = 0

    def add(self, data: bytes) -> None:
        """Takes a piece of the answer."""
        self._digest.update(data)
        self._size += len(data)
        if self._size <= HELD_BYTES:
            self._pieces.append(data)
        else:
            self._pieces.clear()

    def outcome(self) -> ports.Outcome:
        """Returns the outcome once the answer is complete."""
        body = None
        if self._size <= HELD_BYTES:
            body = b"".join(self._pieces)
        return ports.Outcome(self._head, body, self._digest.digest())


def digest(account: str, head: model.RequestHead, start: bytes) -> bytes:
    """Returns the digest of a request with the start of its body."""
    parts = (
        account.encode(),
        head.method.encode(),
        head.path.encode(),
        headers.value_of(head.headers, b"content-length"),
        start,
    )
    hashed = hashlib.sha256()
    for part in parts:
        hashed.update(b"%d:" % len(part))
        hashed.update(part)
    return hashed.digest()
