"""Checks that an answer belongs to its request and arrived unchanged.

A target that copies `X-Exchange-Id` into its answer shows crossed answers; one
that sends `Content-Digest` (RFC 9530) shows mangled bodies.
"""

import base64
import binascii
import hashlib
import re

from cicadafront import headers, model

EXCHANGE_ID_HEADER = b"X-Exchange-Id"
_EXCHANGE_ID = EXCHANGE_ID_HEADER.lower()
# Answers up to this size are passed on once they are complete and intact, so
# that the entry can still try another target.
HELD_BYTES = 64 * 1024
_SHA256 = re.compile(rb"(?:^|[,\s])sha-256=:([A-Za-z0-9+/=]+):")
# Answers without a body, whatever their fields say.
_BODILESS = frozenset({204, 304})


class AnswerCheck:
    """Checks one answer.

    Attributes:
        exchange_id: Value sent with the request.
        held: Whether the answer is small enough to be held until its end.
    """

    def __init__(self, exchange_id: bytes, method: str):
        self.exchange_id = exchange_id
        self.held = False
        self._method = method
        self._expected: bytes | None = None
        self._hash = hashlib.sha256()

    def head(self, head: model.ResponseHead) -> model.ResponseHead | None:
        """Returns the head for the caller, or None for a crossed answer."""
        copied = headers.value_of(head.headers, _EXCHANGE_ID)
        if copied and copied != self.exchange_id:
            return None
        if self._method != "HEAD" and head.status not in _BODILESS:
            self._expected = _digest(head.headers)
            length = headers.value_of(head.headers, b"content-length")
            self.held = length.isdigit() and 0 < int(length) <= HELD_BYTES
        if not copied:
            return head
        kept = tuple(
            (name, value)
            for name, value in head.headers
            if name.lower() != _EXCHANGE_ID
        )
        return model.ResponseHead(head.status, kept)

    def body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if self._expected is not None:
            self._hash.update(data)

    def intact(self) -> bool:
        """Tells whether the body agrees with the digest, if there is one."""
        return self._expected in (None, self._hash.digest())


def _digest(fields: model.Headers) -> bytes | None:
    found = _SHA256.search(headers.value_of(fields, b"content-digest"))
    if found is None:
        return None
    try:
        return base64.b64decode(found[1], validate=True)
    except binascii.Error:
        # Not a digest at all; the target vouches for nothing.
        return None
