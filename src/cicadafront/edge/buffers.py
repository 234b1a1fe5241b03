"""Buffers for the body of a request and for its response."""

import hashlib

from cicadafront import errors, headers, model, ports

# Largest request body, in bytes, that can be sent again after a target may have
# run the request, and largest response body that is stored for a request with
# an idempotency key.
MAX_BUFFERED_BYTES = 64 * 1024
# Leading bytes of the body that go into the fingerprint.
FINGERPRINT_BYTES = 16 * 1024


class RequestBodyBuffer:
    """Buffers the request body while it can still be sent to another target.

    A body of up to `MAX_BUFFERED_BYTES` is kept whole. A larger one is kept
    only until the attempt that has it reports that its target consumed a part
    of it. It is not discarded between two attempts, also if the target of the
    first one has consumed a part. Flow control limits what is kept to one
    window and `MAX_BUFFERED_BYTES`.

    Attributes:
        size: Bytes that have arrived.
        complete: Whether the body has ended.
        dropped: Whether the buffered bytes have been discarded.
    """

    def __init__(self) -> None:
        self.size = 0
        self.complete = False
        self.dropped = False
        self._consumed = 0
        # Whether the attempt that has the body reports consumed bytes.
        self._in_use = False
        self._chunks: list[bytes] = []

    def add(self, data: bytes) -> None:
        """Appends a chunk of the body."""
        self.size += len(data)
        if not self.dropped:
            self._chunks.append(data)
            self._trim()

    def mark_consumed(self, total: int) -> int:
        """Records how much of the body the target of an attempt has consumed.

        Args:
            total: Bytes that the target has consumed so far.

        Returns:
            Bytes that no target had consumed before.
        """
        fresh = max(0, total - self._consumed)
        self._consumed += fresh
        self._in_use = True
        self._trim()
        return fresh

    def is_replayable(self) -> bool:
        """Whether the complete body is buffered."""
        return (
            self.complete
            and not self.dropped
            and self.size <= MAX_BUFFERED_BYTES
        )

    def hand_over(self) -> tuple[bytes, ...]:
        """Returns what has arrived of the body, for an attempt that begins.

        Raises:
            BodyDiscardedError: The body is not complete any more.
        """
        if self.dropped:
            raise errors.BodyDiscardedError(
                "A part of the body has been discarded; send the request "
                "again if running it twice does no harm.",
                executed=errors.Executed.UNKNOWN,
            )
        return tuple(self._chunks)

    def take_back(self) -> None:
        """Keeps the body for another attempt, since the last one has ended."""
        self._in_use = False

    def start(self, size: int) -> bytes:
        """Returns at most `size` leading bytes of the body."""
        return b"".join(self._chunks)[:size]

    def _trim(self) -> None:
        if self._in_use and self.size > MAX_BUFFERED_BYTES:
            self.dropped = True
            self._chunks.clear()


class ResponseRecorder:
    """Records a response for the idempotency record of its request."""

    def __init__(self, head: model.ResponseHead):
        self._head = head
        self._digest = hashlib.sha256()
        self._chunks: list[bytes] = []
        self._size = 0

    def add(self, data: bytes) -> None:
        """Appends a chunk of the response body."""
        self._digest.update(data)
        self._size += len(data)
        if self._size <= MAX_BUFFERED_BYTES:
            self._chunks.append(data)
        else:
            self._chunks.clear()

    def outcome(self) -> ports.Outcome:
        """Returns the outcome of a complete response.

        A body above `MAX_BUFFERED_BYTES` is left out.
        """
        body = None
        if self._size <= MAX_BUFFERED_BYTES:
            body = b"".join(self._chunks)
        return ports.Outcome(self._head, body, self._digest.digest())


def digest(account: str, head: model.RequestHead, start: bytes) -> bytes:
    """Returns the SHA-256 digest of a request and the start of its body."""
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
