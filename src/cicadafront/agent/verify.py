"""Checks that a response belongs to its request and arrived unchanged.

If a target echoes `X-Exchange-Id` in its responses, responses to another
request are detected. If it sends `Content-Digest` (RFC 9530), corrupted bodies
are detected.
"""

import base64
import binascii
import hashlib
import http
import re

from cicadafront import dialect, headers, model

# Responses up to this size are forwarded only once they are complete and
# intact, so that the entry can still retry on another target.
MAX_BUFFERED_BYTES = 64 * 1024
_SHA256 = re.compile(rb"(?:^|[,\s])sha-256=:([A-Za-z0-9+/=]+):")
# Statuses of responses without a body, whatever their headers say.
_BODILESS = frozenset({204, 304})
# Callers interpret these statuses as a guarantee that the request did not run.
_NOT_RUN_STATUSES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class ResponseCheck:
    """Checks one response.

    Attributes:
        exchange_id: Value sent with the request.
        id_echoed: Whether the response echoes the exchange id.
        buffered: Whether the response is small enough to be buffered until it
            is complete.
    """

    def __init__(
        self,
        exchange_id: bytes,
        method: str,
        wire_dialect: dialect.Dialect = dialect.DEFAULT,
    ):
        self.exchange_id = exchange_id
        self._wire_dialect = wire_dialect
        self.id_echoed = False
        self.buffered = False
        self._method = method
        self._expected_digest: bytes | None = None
        self._hash = hashlib.sha256()

    def head(
        self, head: model.ResponseHead, identified: bool = False
    ) -> model.ResponseHead | None:
        """Returns the head for the caller, or None for a crossed response.

        Args:
            head: Head as the target sent it.
            identified: Whether a response without the exchange id counts as
                crossed.
        """
        name = self._wire_dialect.exchange_id_name
        id_echoed = headers.value_of(head.headers, name)
        self.id_echoed = bool(id_echoed) and id_echoed == self.exchange_id
        if not self.id_echoed and (id_echoed or identified):
            return None
        if self._method != "HEAD" and head.status not in _BODILESS:
            self._expected_digest = _digest(head.headers)
            length = headers.value_of(head.headers, b"content-length")
            self.buffered = (
                length.isdigit() and 0 < int(length) <= MAX_BUFFERED_BYTES
            )
        if not id_echoed or self._wire_dialect.caller_exchange_id:
            return head
        kept = tuple(
            (field, value)
            for field, value in head.headers
            if field.lower() != name
        )
        return model.ResponseHead(head.status, kept)

    def genuine(self, head: model.ResponseHead) -> bool:
        """Returns whether a success comes unchanged from the target.

        Callers accept no content encoding, so a success with one was modified
        in transit.
        """
        if not self._wire_dialect.proof or not 200 <= head.status < 300:
            return True
        proof = headers.value_of(head.headers, self._wire_dialect.proof_name)
        encoding = headers.value_of(head.headers, b"content-encoding")
        return bool(proof) and not encoding

    def not_run(self, head: model.ResponseHead) -> bool:
        """Returns whether the target states that the request did not run."""
        if not self._wire_dialect.not_executed:
            return False
        if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return True
        stated = headers.value_of(
            head.headers, self._wire_dialect.not_executed_name
        )
        return bool(stated) and head.status >= 400

    def unstated(self, head: model.ResponseHead) -> bool:
        """Returns whether the status implies a statement that is missing.

        The status tells callers that the request did not run, but the target
        does not state so.
        """
        return (
            bool(self._wire_dialect.not_executed)
            and head.status in _NOT_RUN_STATUSES
        )

    def reusable(self) -> bool:
        """Returns whether the connection may be used for another exchange.

        Where targets always echo the exchange id, a response without it cannot
        be distinguished from a late response to an earlier request.
        """
        return self.id_echoed or not self._wire_dialect.caller_exchange_id

    def body(self, data: bytes) -> None:
        """Adds a part of the body to the digest."""
        if self._expected_digest is not None:
            self._hash.update(data)

    def intact(self) -> bool:
        """Returns whether the body matches its digest, if there is one."""
        return self._expected_digest in (None, self._hash.digest())


def _digest(fields: model.Headers) -> bytes | None:
    found = _SHA256.search(headers.value_of(fields, b"content-digest"))
    if found is None:
        return None
    try:
        return base64.b64decode(found[1], validate=True)
    except binascii.Error:
        # The value is not valid base64, so there is no digest to check.
        return None
