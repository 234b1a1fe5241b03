"""Transfer of a document between instances in pages; free of I/O.

The caller names the document that it has, and gets a delta to a newer one. It
asks for one page after the other. A slow link therefore carries other frames in
between, and each page can come from another instance that offers the same
delta: pages received before an instance fails are kept.
"""

import collections
import struct
from typing import Any

import attrs

from cicadafront.config import delta

# Other frames of a link wait for a page, which takes 0.05 s at 5 Mbit/s.
PAGE_BYTES = 32 * 1024
# Documents that callers may have, and deltas that may be in transfer.
MAX_DOCUMENTS = 4
MAX_OFFERS = 8
# Time without a page after which another delta is received instead.
STALLED_SECONDS = 2.0

_NO_DELTA = bytes(delta.DIGEST_BYTES)
_NO_BASE = delta.digest(b"")
_REQUEST = struct.Struct(f"!Q{delta.DIGEST_BYTES}s{delta.DIGEST_BYTES}sI")
_PAGE = struct.Struct(f"!QQQ{delta.DIGEST_BYTES}s{delta.DIGEST_BYTES}sII")


@attrs.frozen
class Request:
    """Request for a page.

    Attributes:
        revision: Revision that the caller runs; 0 without one.
        base: Digest of its document.
        delta: Digest of the delta that it is receiving; zeros without one.
        offset: Number of bytes of the delta that it has.
    """

    revision: int
    base: bytes
    delta: bytes = _NO_DELTA
    offset: int = 0

    def encode(self) -> bytes:
        """Returns the bytes of a message."""
        return _REQUEST.pack(self.revision, self.base, self.delta, self.offset)

    @classmethod
    def decode(cls, message: bytes) -> "Request":
        """Decodes a message.

        Raises:
            DeltaError: The message has another length.
        """
        if len(message) != _REQUEST.size:
            raise delta.DeltaError(
                f"A request for a page has {len(message)} bytes instead of "
                f"{_REQUEST.size}."
            )
        return cls(*_REQUEST.unpack(message))


@attrs.frozen
class Page:
    """A part of a delta.

    Attributes:
        revision: Revision of the document that the delta yields.
        era: Era of the store, as the sender knows it.
        version: Version of the document in the store; 0 if it is not known.
        base: Digest of the document to which the delta applies.
        delta: Digest of the delta.
        size: Number of bytes of the delta.
        offset: Place of the data in the delta.
        data: The data.
    """

    revision: int
    era: int
    version: int
    base: bytes
    delta: bytes
    size: int
    offset: int
    data: bytes

    def encode(self) -> bytes:
        """Returns the bytes of a message."""
        *fields, data = attrs.astuple(self)
        return _PAGE.pack(*fields) + data

    @classmethod
    def decode(cls, message: bytes) -> "Page":
        """Decodes a message.

        Raises:
            DeltaError: The message is too short, or the page has no data or
                more than the delta.
        """
        if len(message) <= _PAGE.size:
            raise delta.DeltaError("A page has no data.")
        data = message[_PAGE.size :]
        fields: tuple[Any, ...] = (*_PAGE.unpack_from(message), data)
        page = cls(*fields)
        if page.offset + len(page.data) > page.size:
            raise delta.DeltaError("A page is larger than its delta.")
        if page.size > delta.MAX_DOCUMENT_BYTES:
            raise delta.DeltaError(
                f"A delta of {page.size} bytes is too large."
            )
        return page


@attrs.frozen
class _Offer:
    """A delta that callers can receive."""

    revision: int
    base: bytes
    content: bytes


class Sender:
    """Hands the document of this instance to others.

    Attributes:
        revision: Revision of the document; 0 without one.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._digest = _NO_BASE
        # Earlier documents too, by digest, since callers have them.
        self._documents: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )
        self._offers: collections.OrderedDict[bytes, _Offer] = (
            collections.OrderedDict()
        )
        # Deltas to the document, by the digest of their base.
        self._deltas: dict[bytes, bytes] = {}

    def replace(self, revision: int, document: bytes) -> None:
        """Sets a newer document.

        Deltas that are in transfer can still be received.
        """
        self.revision = revision
        self._digest = delta.digest(document)
        self._documents[self._digest] = document
        _shorten(self._documents, MAX_DOCUMENTS)
        self._deltas.clear()

    def page(self, request: Request, era: int, version: int) -> bytes:
        """Returns a page for a caller, or nothing if none is newer.

        Args:
            request: The request.
            era: Era of the store.
            version: Version of the document in the store; 0 if it is not known.
        """
        found = request.delta
        if found not in self._offers:
            if self.revision <= request.revision:
                return b""
            found = self._delta(request.base)
        offer = self._offers[found]
        self._offers.move_to_end(found)
        offset = request.offset if found == request.delta else 0
        if offset >= len(offer.content):
            return b""
        return Page(
            offer.revision,
            era,
            version if offer.revision == self.revision else 0,
            offer.base,
            found,
            len(offer.content),
            offset,
            offer.content[offset : offset + PAGE_BYTES],
        ).encode()

    def _delta(self, base: bytes) -> bytes:
        """Returns the digest of the delta from a base to the document."""
        if base not in self._documents:
            base = _NO_BASE
        found = self._deltas.get(base)
        if found is None or found not in self._offers:
            content = delta.encode(
                self._documents[self._digest], self._documents.get(base, b"")
            )
            found = self._deltas[base] = delta.digest(content)
            self._offers[found] = _Offer(self.revision, base, content)
            _shorten(self._offers, MAX_OFFERS)
        return found


class Receiver:
    """Collects the pages of a delta, from one instance or several.

    Attributes:
        revision: Revision of the document that is being received; 0 if none is.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._page: Page | None = None
        self._base = b""
        self._content = bytearray()
        self._progressed_at = 0.0
        # Documents from which a delta turned out to be wrong.
        self._refused_base = b""

    def request(self, revision: int, document: bytes) -> Request:
        """Returns the request for the next page.

        Args:
            revision: Revision that this instance runs; 0 without one.
            document: Its document.
        """
        base = delta.digest(document)
        if base == self._refused_base:
            base = _NO_BASE
        if self._page is None:
            return Request(revision, base)
        offset = len(self._content)
        return Request(revision, base, self._page.delta, offset)

    def add(self, now: float, page: Page, document: bytes) -> bool:
        """Adds a page.

        A page of another delta is taken if it is of a newer document, or if
        the present transfer makes no progress.

        Args:
            now: Time in seconds.
            page: The page.
            document: Document of this instance.

        Returns:
            Whether the page was missing.
        """
        if self._page is None or page.delta != self._page.delta:
            stalled = now - self._progressed_at >= STALLED_SECONDS
            if page.offset or (page.revision <= self.revision and not stalled):
                return False
            if page.base not in (_NO_BASE, delta.digest(document)):
                return False
            self.reset()
            self._page, self.revision = page, page.revision
            self._base = b"" if page.base == _NO_BASE else document
        if page.offset != len(self._content):
            return False
        self._content += page.data
        self._progressed_at = now
        return True

    @property
    def complete(self) -> bool:
        """Whether all pages have been received."""
        return self._page is not None and len(self._content) == self._page.size

    def take(self) -> bytes:
        """Returns the document and ends the transfer.

        Raises:
            DeltaError: The delta is wrong; the next transfer is of a whole
                document.
        """
        content, base = bytes(self._content), self._base
        self.reset()
        try:
            return delta.apply(content, base)
        except delta.DeltaError:
            self._refused_base = delta.digest(base)
            raise

    def reset(self) -> None:
        """Ends the transfer, if there is one."""
        self._page, self.revision, self._base = None, 0, b""
        self._content = bytearray()


def _shorten(found: "collections.OrderedDict[bytes, Any]", most: int) -> None:
    while len(found) > most:
        found.popitem(last=False)
