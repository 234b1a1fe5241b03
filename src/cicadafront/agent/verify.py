"""Checks that an answer belongs to its request and arrived unchanged.

A target that copies `X-Exchange-Id` into its answer shows crossed answers; one
that sends `Content-Digest` (RFC 9530) shows mangled bodies.
"""

import base64
import binascii
import hashlib
import http
import re

from cicadafront import dialect, headers, model

# Answers up to this size are passed on once they are complete and intact, so
# that the entry can still try another target.
HELD_BYTES = 64 * 1024
_SHA256 = re.compile(rb"(?:^|[,\s])sha-256=:([A-Za-z0-9+/=]+):")
# Answers without a body, whatever their fields say.
_BODILESS = frozenset({204, 304})
# Callers take these for the promise that the request has not run.
_PROMISES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class AnswerCheck:
    """Checks one answer.

    Attributes:
        exchange_id: Value sent with the request.
        copied: Whether the answer bears the exchange id.
        held: Whether the answer is small enough to be held until its end.
    """

    def __init__(
        self,
        exchange_id: bytes,
        method: str,
        words: dialect.Dialect = dialect.DEFAULT,
    ):
        self.exchange_id = exchange_id
        self._words = words
        self.copied = False
        self.held = False
        self._method = method
        self._expected: bytes | None = None
        self._hash = hashlib.sha256()

    def head(
        self, head: model.ResponseHead, identified: bool = False
    ) -> model.ResponseHead | None:
        """Returns the head for the caller, or None for a crossed answer.

        Args:
            head: Head as the target sent it.
            identified: Whether an answer without the exchange id is crossed.
        """
        name = self._words.exchange_id_name
        copied = headers.value_of(head.headers, name)
        self.copied = bool(copied) and copied == self.exchange_id
        if not self.copied and (copied or identified):
            return None
        if self._method != "HEAD" and head.status not in _BODILESS:
            self._expected = _digest(head.headers)
            length = headers.value_of(head.headers, b"content-length")
            self.held = length.isdigit() and 0 < int(length) <= HELD_BYTES
        if not copied or self._words.caller_exchange_id:
            return head
        kept = tuple(
            (field, value)
            for field, value in head.headers
            if field.lower() != name
        )
        return model.ResponseHead(head.status, kept)

    def genuine(self, head: model.ResponseHead) -> bool:
        """Tells whether a success comes from the target as it was sent.

        Callers accept no encoding, so a success with one was changed on its
        way.
        """
        if not self._words.proof or not 200 <= head.status < 300:
            return True
        proven = headers.value_of(head.headers, self._words.proof_name)
        coded = headers.value_of(head.headers, b"content-encoding")
        return bool(proven) and not coded

    def not_run(self, head: model.ResponseHead) -> bool:
        """Tells whether the target states that it did not run the request."""
        if not self._words.not_executed:
            return False
        if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return True
        stated = headers.value_of(head.headers, self._words.not_executed_name)
        return bool(stated) and head.status >= 400

    def unstated(self, head: model.ResponseHead) -> bool:
        """Tells whether the status promises what the target does not state."""
        return bool(self._words.not_executed) and head.status in _PROMISES

    def reusable(self) -> bool:
        """Tells whether the connection may carry another answer.

        Where targets always copy the exchange id, one that did not copy it
        could not be told from a late answer to an earlier request.
        """
        return self.copied or not self._words.caller_exchange_id

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
