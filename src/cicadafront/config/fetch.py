"""Fetches newer documents from other instances, and serves them."""

import collections
import struct
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, ports
from cicadafront.config import delta, transfer
from cicadafront.telemetry import logs

PAGE_METHOD = "configuration page"
# Returns a whole document; for instances of earlier versions.
DOCUMENT_METHOD = "configuration"
# Several calls run at a time only if the ones before are late.
MAX_CALLS = 6
CALL_TIMEOUT_SECONDS = 4.0

_REVISION = struct.Struct("!Q")

_log = logs.Log("config")


@attrs.frozen
class Fetched:
    """A document from another instance.

    Attributes:
        document: The document.
        source: Id of the instance.
        revision: Revision that the instance stated.
        era: Era of the store, as the instance knows it.
        version: Version of the document in the store; 0 if it is not known.
    """

    document: bytes
    source: str
    revision: int
    era: int = 0
    version: int = 0


class PeerDocuments:
    """Exchanges documents with other instances.

    Attributes:
        sender: Serves the document of this instance.
        called_at: Time of the last call in seconds.
        counts: Events of transfers.

    Args:
        calls: Calls to peers.
        clock: Source of time.
        stored: Returns the era of the store, and the version of the document
            of this instance in it, or 0 if that is not known.
        on_document: Called with each document that was fetched.
    """

    def __init__(
        self,
        calls: ports.PeerCalls,
        clock: Any,
        stored: Callable[[], tuple[int, int]],
        on_document: Callable[[Fetched], None],
    ):
        self.sender = transfer.Sender()
        self.called_at = float("-inf")
        self.counts: collections.Counter[str] = collections.Counter()
        self._calls = calls
        self._clock = clock
        self._stored = stored
        self._on_document = on_document
        self._receiver = transfer.Receiver()
        self._document = b""
        self._in_flight: dict[str, defer.Deferred[Any]] = {}
        calls.register(PAGE_METHOD, self._serve_page)
        calls.register(DOCUMENT_METHOD, self._serve_document)

    @property
    def calls_in_flight(self) -> int:
        """Number of calls that have not been answered yet."""
        return len(self._in_flight)

    def replace(self, revision: int, document: bytes) -> None:
        """Sets a newer document of this instance."""
        self._document = document
        self.sender.replace(revision, document)
        if self._receiver.revision <= revision:
            self._receiver.reset()

    def fetch(self, peer: str | None, revision: int) -> None:
        """Asks a peer for a newer document, or for its next page.

        Args:
            peer: Id of the peer; None or one that is being called does
                nothing.
            revision: Revision that the peer is known to run; 0 if it is not
                known.
        """
        if peer is None or peer in self._in_flight:
            return
        request = self._receiver.request(self.sender.revision, self._document)
        call = self._call(peer, PAGE_METHOD, request.encode())
        call.addCallback(self._on_page, peer, revision)
        call.addErrback(self._on_call_failed, peer, revision)

    def _call(
        self, peer: str, method: str, body: bytes
    ) -> "defer.Deferred[bytes]":
        self.called_at = self._clock.seconds()
        call = self._calls.call(peer, method, body, CALL_TIMEOUT_SECONDS)
        self._in_flight[peer] = call
        return call.addBoth(self._call_ended, peer)

    def _call_ended(self, result: Any, peer: str) -> Any:
        self._in_flight.pop(peer, None)
        return result

    def _on_page(self, reply: bytes, peer: str, revision: int) -> None:
        if not reply:
            return
        self.counts["bytes_received"] += len(reply)
        try:
            page = transfer.Page.decode(reply)
            now = self._clock.seconds()
            if not self._receiver.add(now, page, self._document):
                self.counts["pages_not_needed"] += 1
                return
            if not self._receiver.complete:
                self.fetch(peer, revision)
                return
            document = self._receiver.take()
        except delta.DeltaError as error:
            self.counts["pages_refused"] += 1
            _log.warning(
                "refused a configuration from a peer.",
                peer=peer,
                reason=error.message,
            )
            return
        self.counts["documents"] += 1
        self._on_document(
            Fetched(document, peer, page.revision, page.era, page.version)
        )

    def _on_call_failed(
        self, reason: failure.Failure, peer: str, revision: int
    ) -> None:
        error = reason.value
        if isinstance(error, errors.CallFailedError) and (
            error.code == "method_unknown"
        ):
            self._fetch_document(peer, revision)
        else:
            self._log_failure(reason, peer)

    def _fetch_document(self, peer: str, revision: int) -> None:
        known = _REVISION.pack(self.sender.revision)
        call = self._call(peer, DOCUMENT_METHOD, known)

        def fetched(document: bytes) -> None:
            if document:
                self._on_document(Fetched(document, peer, revision))

        call.addCallback(fetched)
        call.addErrback(self._log_failure, peer)

    def _log_failure(self, reason: failure.Failure, peer: str) -> None:
        self.counts["calls_failed"] += 1
        _log.info(
            "failed to fetch the configuration from a peer.",
            peer=peer,
            reason=reason.getErrorMessage(),
        )

    def _serve_page(self, caller: str, body: bytes) -> bytes:
        page = self.sender.page(transfer.Request.decode(body), *self._stored())
        self.counts["bytes_sent"] += len(page)
        return page

    def _serve_document(self, caller: str, body: bytes) -> bytes:
        (known,) = _REVISION.unpack(body)
        return self._document if self.sender.revision > known else b""
