"""The platform's key-value store; implements `ports.Store`."""

import base64
import collections
import json
from collections.abc import Coroutine, Sequence
from typing import Any, TypeVar
from urllib import parse

from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.platform import http
from cicadafront.telemetry import logs

# Answers take milliseconds, or 50 times as long while the store is slow.
CALL_SECONDS = 1.0
# Grace for the answer to a watch that has waited its whole time: 60 times the
# usual 4 ms, as when the store is slow, and the way there.
WATCH_GRACE_SECONDS = 0.4
# Longest wait of one watch.
MAX_WATCH_SECONDS = 30.0

# What a document that another server wrote makes the conversions raise.
_UNREADABLE = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)

_T = TypeVar("_T")

_log = logs.Log("store")

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412


class Store:
    """Client of the store; it never repeats a call by itself.

    Attributes:
        counts: Calls by kind and result.
    """

    def __init__(self, reactor: Any, address: tuple[str, int]):
        self.counts: collections.Counter[str] = collections.Counter()
        self._http = http.Client(reactor, address)
        # Revision of the store up to which each key has been read; a watch
        # continues there, since the history before it may be forgotten.
        self._seen: dict[str, int] = {}

    def close(self) -> None:
        """Closes idle connections."""
        self._http.close()

    def get(self, key: str) -> "defer.Deferred[ports.Versioned | None]":
        """Reads one key."""
        return _checked(self._get(key))

    def list(self, prefix: str) -> "defer.Deferred[dict[str, ports.Versioned]]":
        """Reads all keys with a prefix."""
        return _checked(self._list(prefix))

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: str = "",
    ) -> "defer.Deferred[int]":
        """Writes a key and returns its new version."""
        put = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": int(lease or 0),
        }
        return _checked(self._change(key, expected, [put], []))

    def delete(
        self, key: str, expected: int | None = None
    ) -> "defer.Deferred[None]":
        """Deletes a key, with `expected` only at that version."""
        changing = _checked(self._change(key, expected, [], [key]))
        return changing.addCallback(lambda _: None)

    def watch(
        self, key: str, after: int, timeout: float
    ) -> "defer.Deferred[ports.Versioned | None]":
        """Waits until the version exceeds `after`; None after the timeout."""
        return _checked(self._watch(key, after, timeout))

    def grant_lease(self, ttl: float) -> "defer.Deferred[str]":
        """Creates a lease and returns its id."""
        return _checked(self._grant(ttl))

    def renew_lease(self, lease: str) -> "defer.Deferred[None]":
        """Renews a lease; fails with `StoreConflictError` once it lapsed."""
        path = f"/-/kv-keep/{parse.quote(lease)}"
        return defer.ensureDeferred(self._end_or_renew("POST", path))

    def revoke_lease(self, lease: str) -> "defer.Deferred[None]":
        """Ends a lease; keys attached to it are deleted."""
        path = f"/-/kv-lease-end/{parse.quote(lease)}"
        return defer.ensureDeferred(self._end_or_renew("DELETE", path))

    async def _call(
        self,
        method: str,
        path: str,
        content: dict[str, Any] | None = None,
        *,
        query: dict[str, Any] | None = None,
        wait: float = 0.0,
        known: tuple[int, ...] = (),
        bare: bool = False,
    ) -> tuple[int, dict[str, Any]]:
        """Returns status and document of an answer with a known status.

        A success without a body is one only if it may be `bare`: the body of
        an answer without a length may have been cut.
        """
        kind = path.split("/")[2]
        body = b"" if content is None else json.dumps(content).encode()
        target = f"{path}?{parse.urlencode(query)}" if query else path
        seconds = wait + (WATCH_GRACE_SECONDS if wait else CALL_SECONDS)
        try:
            reply = await self._http.call(method, target, body, seconds)
        except errors.StoreUnavailableError:
            self.counts[f"{kind}_unavailable"] += 1
            raise
        self.counts[f"{kind}_{reply.status}"] += 1
        if reply.status != _OK and reply.status not in known:
            raise errors.StoreUnavailableError(
                f"The store answered {reply.status} to {method} {path}; "
                "check the store and its rates."
            )
        return reply.status, _document(reply, bare)

    async def _get(self, key: str) -> ports.Versioned | None:
        status, document = await self._call(
            "GET", "/-/kv-key", query={"key": key}, known=(_NOT_FOUND,)
        )
        if status == _NOT_FOUND:
            return None
        if document.get("key") != key:
            raise errors.StoreUnavailableError(
                f"The store did not answer with {key}; check that the address "
                "is the store's."
            )
        self._note(key, document)
        return _versioned(document)

    async def _list(self, prefix: str) -> dict[str, ports.Versioned]:
        found: dict[str, ports.Versioned] = {}
        query = {"path_prefix": prefix}
        while True:
            _, document = await self._call("GET", "/-/kv-range", query=query)
            for item in document["items"]:
                self._add(found, item)
            if not document.get("has_more") or not document["items"]:
                return found
            query = {**query, "after": document["items"][-1]["key"]}

    def _add(self, found: dict[str, ports.Versioned], item: Any) -> None:
        """Adds an item of a list; one that cannot be read is left out."""
        try:
            key, read = item["key"], _versioned(item)
        except _UNREADABLE as error:
            self.counts["items_unreadable"] += 1
            _log.warning(
                "an item of the store cannot be read.", reason=repr(error)[:200]
            )
            return
        if isinstance(key, str):
            found[key] = read

    async def _change(
        self,
        key: str,
        expected: int | None,
        puts: Sequence[dict[str, Any]],
        removed: Sequence[str],
    ) -> int:
        conditions = []
        if expected is not None:
            conditions = [{"key": key, "rev": expected}]
        status, document = await self._call(
            "POST",
            "/-/kv-txn",
            {"expected": conditions, "puts": puts, "remove": removed},
            known=(_CONFLICT, _NOT_FOUND),
        )
        if status == _CONFLICT:
            raise errors.StoreConflictError(
                f"{key} was changed by someone else; read it again."
            )
        if status == _NOT_FOUND:
            raise errors.StoreConflictError(
                "The lease has ended; take a new one."
            )
        return int(document["rev"])

    async def _watch(
        self, key: str, after: int, timeout: float
    ) -> ports.Versioned | None:
        wait = min(timeout, MAX_WATCH_SECONDS)
        status, document = await self._call(
            "GET",
            "/-/kv-watch",
            query={
                "path_prefix": key,
                "after": max(after, self._seen.get(key, 0)),
                "wait_ms": int(wait * 1000),
            },
            wait=wait,
            known=(_GONE,),
        )
        if status == _GONE:
            return await self._get(key)
        self._note(key, document)
        newest = None
        for event in document.get("events") or ():
            if event["key"] == key and not event.get("tombstone"):
                newest = _versioned(event)
        return newest

    async def _grant(self, ttl: float) -> str:
        # The field is the lease's time to live in seconds.
        _, document = await self._call(
            "POST", "/-/kv-lease", {"ttl_s_time": ttl}
        )
        return str(document["lease"])

    async def _end_or_renew(self, method: str, path: str) -> None:
        status, _ = await self._call(
            method, path, known=(_NOT_FOUND,), bare=True
        )
        if status == _NOT_FOUND:
            raise errors.StoreConflictError("The lease has ended.")

    def _note(self, key: str, document: dict[str, Any]) -> None:
        revision = document.get("store_revision")
        if isinstance(revision, int):
            self._seen[key] = max(revision, self._seen.get(key, 0))


def _checked(reading: Coroutine[Any, Any, _T]) -> "defer.Deferred[_T]":
    """Runs a call; a document without a wanted field counts as no answer."""

    async def check() -> _T:
        try:
            return await reading
        except _UNREADABLE as error:
            raise errors.StoreUnavailableError(
                "The store sent a document that cannot be read; check that "
                "the address is the store's."
            ) from error

    return defer.ensureDeferred(check())


def _document(reply: http.Reply, bare: bool = False) -> dict[str, Any]:
    if not reply.body and (bare or reply.status != _OK):
        return {}
    try:
        document = json.loads(reply.body)
    except (ValueError, RecursionError):
        document = None
    if isinstance(document, dict):
        return document
    if reply.status != _OK:
        return {}
    raise errors.StoreUnavailableError(
        "The store sent a document that cannot be read; check that the "
        "address is the store's."
    )


def _versioned(item: dict[str, Any]) -> ports.Versioned:
    return ports.Versioned(
        base64.b64decode(item["value"], validate=True),
        int(item["rev"]),
        str(item.get("lease") or ""),
    )
