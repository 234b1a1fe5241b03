"""Client for the platform's key-value store; implements `ports.Store`."""

import base64
import collections
import json
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, TypeVar
from urllib import parse

from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, ports
from cicadafront.platform import era as eras
from cicadafront.platform import http
from cicadafront.telemetry import logs

# Time within which the response to a call must begin. The store responds within
# milliseconds, or 50 times as long while it is slow.
CALL_SECONDS = 1.0
# The same for the response to a watch, beyond its waiting time: 60 times the
# usual 4 ms, which covers a slow store, plus the network round trip.
WATCH_GRACE_SECONDS = 0.4
# Maximum waiting time of a watch.
MAX_WATCH_SECONDS = 30.0

# Exceptions raised by the conversion of a document that does not have the
# format of the store.
_DECODE_ERRORS = (
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
_PRECONDITION_FAILED = 412
# Statuses of responses that tell the state of the store.
_DATA_STATUSES = (_OK, _NOT_FOUND, _GONE, _PRECONDITION_FAILED)


class Store:
    """Client of the store; it does not retry failed calls.

    The store may revert to an older copy, which the rise of its era shows. A
    response of an older era is not used. A write that spans a rise, or whose
    condition or lease is of an older era, fails with `StoreConflictError`.

    Attributes:
        counts: Calls by kind and result.
    """

    def __init__(self, reactor: Any, address: tuple[str, int]):
        self.counts: collections.Counter[str] = collections.Counter()
        self._http = http.Client(reactor, address)
        # Store revision up to which each key has been read. A watch continues
        # from it, since the store may have compacted the earlier history.
        self._read_revisions: dict[str, int] = {}
        self._era = eras.Era()
        self._era_handlers: list[Callable[[], None]] = []
        self._watches: set[defer.Deferred[http.Reply]] = set()

    @property
    def era(self) -> int:
        """Era of the store; 0 until it is known."""
        return self._era.current

    def on_new_era(self, handler: Callable[[], None]) -> None:
        """Calls the handler when the store has reverted to an older copy.

        It is called before any result of the new era is passed on.
        """
        self._era_handlers.append(handler)

    def close(self) -> None:
        """Closes idle connections."""
        self._http.close()

    def get(self, key: str) -> "defer.Deferred[ports.Versioned | None]":
        """Reads one key."""
        return _convert_decode_errors(self._get(key))

    def get_stale(self, key: str) -> "defer.Deferred[ports.Versioned | None]":
        """Reads one key; the result may be seconds old and costs a tenth."""
        return _convert_decode_errors(self._get(key, {"stale_ok": 1}))

    def list(self, prefix: str) -> "defer.Deferred[dict[str, ports.Versioned]]":
        """Reads all keys with a prefix."""
        return _convert_decode_errors(self._list(prefix))

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
        return _convert_decode_errors(self._transact(key, expected, [put], []))

    def delete(
        self, key: str, expected: int | None = None
    ) -> "defer.Deferred[None]":
        """Deletes a key; if `expected` is given, only at that version."""
        transaction = _convert_decode_errors(
            self._transact(key, expected, [], [key])
        )
        return transaction.addCallback(lambda _: None)

    def watch(
        self, key: str, after: int, timeout: float
    ) -> "defer.Deferred[ports.Versioned | None]":
        """Waits for a version above `after`; returns None on a timeout."""
        return _convert_decode_errors(self._watch(key, after, timeout))

    def read_prefix(
        self, prefix: str
    ) -> "defer.Deferred[tuple[dict[str, int], int]]":
        """Reads the revisions of the keys with a prefix, and of the store."""
        return _convert_decode_errors(self._read_prefix(prefix))

    def watch_prefix(
        self, prefix: str, after: int, timeout: float
    ) -> "defer.Deferred[ports.PrefixChanges | None]":
        """Waits for changes of the keys with a prefix.

        Returns None if the store no longer has the changes since `after`.
        """
        return _convert_decode_errors(
            self._watch_prefix(prefix, after, timeout)
        )

    def grant_lease(self, ttl: float) -> "defer.Deferred[str]":
        """Creates a lease and returns its id."""
        return _convert_decode_errors(self._grant(ttl))

    def renew_lease(self, lease: str) -> "defer.Deferred[None]":
        """Renews a lease; fails with `StoreConflictError` if it has ended."""
        path = f"/-/kv-keep/{parse.quote(lease)}"
        return defer.ensureDeferred(
            self._end_or_renew_lease("POST", path, lease)
        )

    def revoke_lease(self, lease: str) -> "defer.Deferred[None]":
        """Ends a lease, which deletes the keys attached to it."""
        path = f"/-/kv-lease-end/{parse.quote(lease)}"
        return defer.ensureDeferred(
            self._end_or_renew_lease("DELETE", path, lease)
        )

    async def _call(
        self,
        method: str,
        path: str,
        content: dict[str, Any] | None = None,
        *,
        query: dict[str, Any] | None = None,
        wait: float = 0.0,
        accepted: tuple[int, ...] = (),
        allow_empty: bool = False,
    ) -> tuple[int, dict[str, Any]]:
        """Returns the status and document of a response.

        Args:
            method: HTTP method.
            path: Path.
            content: JSON content of the request.
            query: Query parameters.
            wait: Seconds that the store may wait before it responds.
            accepted: Statuses other than 200 that are no errors.
            allow_empty: Whether a success may have an empty body. By default
                it is an error, since the body of a response without a
                Content-Length may have been truncated.

        Raises:
            StoreUnavailableError: There is no response, or it has another
                status, no valid document or an older era.
        """
        kind = path.split("/")[2]
        body = b"" if content is None else json.dumps(content).encode()
        target = f"{path}?{parse.urlencode(query)}" if query else path
        seconds = wait + (WATCH_GRACE_SECONDS if wait else CALL_SECONDS)
        pending = self._http.call(method, target, body, seconds)
        if wait:
            self._watches.add(pending)
        try:
            reply = await pending
        except errors.StoreUnavailableError:
            self.counts[f"{kind}_unavailable"] += 1
            raise
        finally:
            self._watches.discard(pending)
        self.counts[f"{kind}_{reply.status}"] += 1
        self._observe_era(reply)
        if reply.status != _OK and reply.status not in accepted:
            raise errors.StoreUnavailableError(
                f"The store returned status {reply.status} for {method} "
                f"{path}; check the store and its rate limits."
            )
        return reply.status, _parse_reply(reply, allow_empty)

    def _observe_era(self, reply: http.Reply) -> None:
        """Handles the era of a response.

        Raises:
            StoreUnavailableError: The response is of an older era.
        """
        if self._era.is_outdated(reply.era):
            self.counts["outdated_responses"] += 1
            raise errors.StoreUnavailableError(
                "The response was sent before the store reverted to an older "
                "copy; repeat the call."
            )
        if not self._era.observe(reply.era, reply.status in _DATA_STATUSES):
            return
        self.counts["new_eras"] += 1
        _log.warning("the store reverted to an older copy.", era=self.era)
        self._read_revisions.clear()
        for handler in self._era_handlers:
            _call_handler(handler)
        # Their revisions do not exist any more, or mean something else.
        for watch in list(self._watches):
            watch.errback(
                errors.StoreUnavailableError(
                    "The store reverted to an older copy during the watch; "
                    "read the key again."
                )
            )

    async def _write(
        self, method: str, path: str, *args: Any, **options: Any
    ) -> tuple[int, dict[str, Any]]:
        """Sends a write like `_call`.

        Raises:
            StoreConflictError: The store reverted to an older copy meanwhile.
            StoreUnavailableError: The store did not answer, or refused.
        """
        rises = self._era.rises
        conflict = errors.StoreConflictError(
            "The store reverted to an older copy during the write; read "
            "again what it depends on."
        )
        try:
            result = await self._call(method, path, *args, **options)
        except errors.StoreUnavailableError as error:
            if self._era.rises != rises:
                raise conflict from error
            raise
        if self._era.rises != rises:
            raise conflict
        return result

    async def _get(
        self, key: str, options: Mapping[str, Any] = {}
    ) -> ports.Versioned | None:
        query = {"key": key, **options}
        status, document = await self._call(
            "GET", "/-/kv-key", query=query, accepted=(_NOT_FOUND,)
        )
        if status == _NOT_FOUND:
            # A watch continues from here and returns the first version.
            self._record_revision(key, document)
            self._era.read(key, 0)
            return None
        if document.get("key") != key:
            raise errors.StoreUnavailableError(
                f"The response of the store does not contain key {key}; check "
                "that the configured address is that of the store."
            )
        self._record_revision(key, document)
        found = _versioned(document)
        self._era.read(key, found.version)
        return found

    async def _list(self, prefix: str) -> dict[str, ports.Versioned]:
        return (await self._range(prefix))[0]

    async def _range(
        self, prefix: str
    ) -> tuple[dict[str, ports.Versioned], int]:
        """Returns the items with a prefix and the revision of the first page.

        Later pages may contain newer items. The revision is 0 if the store
        states none.
        """
        items: dict[str, ports.Versioned] = {}
        query = {"path_prefix": prefix}
        rises: int | None = None
        revision = 0
        while True:
            _, document = await self._call("GET", "/-/kv-range", query=query)
            if rises is None:
                rises = self._era.rises
                revision = _store_revision(document)
            elif rises != self._era.rises:
                raise errors.StoreUnavailableError(
                    "The store reverted to an older copy between two pages of "
                    "a list; read the list again."
                )
            for item in document["items"]:
                self._add_item(items, item)
            if not document.get("has_more") or not document["items"]:
                self._era.listed(prefix, items)
                return items, revision
            query = {**query, "after": document["items"][-1]["key"]}

    async def _read_prefix(self, prefix: str) -> tuple[dict[str, int], int]:
        items, revision = await self._range(prefix)
        versions = {key: item.version for key, item in items.items()}
        return versions, revision or max(versions.values(), default=0)

    async def _watch_prefix(
        self, prefix: str, after: int, timeout: float
    ) -> ports.PrefixChanges | None:
        rises = self._era.rises
        status, document = await self._send_watch(prefix, after, timeout)
        if status == _GONE or self._era.rises != rises:
            # The revision from which the watch started does not exist.
            return None
        events = tuple(
            ports.PrefixEvent(
                str(event["key"]),
                int(event["rev"]),
                bool(event.get("tombstone")),
            )
            for event in document.get("events") or ()
        )
        newest = max((event.revision for event in events), default=after)
        return ports.PrefixChanges(
            events, max(newest, _store_revision(document))
        )

    def _add_item(self, items: dict[str, ports.Versioned], item: Any) -> None:
        """Adds an item of a list; skips an item that cannot be decoded."""
        try:
            key, versioned = item["key"], _versioned(item)
        except _DECODE_ERRORS as error:
            self.counts["items_unreadable"] += 1
            _log.warning(
                "cannot decode an item of the store.", reason=repr(error)[:200]
            )
            return
        if isinstance(key, str):
            items[key] = versioned

    async def _transact(
        self,
        key: str,
        expected: int | None,
        puts: Sequence[dict[str, Any]],
        removals: Sequence[str],
    ) -> int:
        lease = next((str(put["lease"]) for put in puts if put["lease"]), "")
        self._era.check_write(key, expected, lease)
        conditions = []
        if expected is not None:
            conditions = [{"key": key, "rev": expected}]
        status, document = await self._write(
            "POST",
            "/-/kv-txn",
            {"expected": conditions, "puts": puts, "remove": removals},
            accepted=(_PRECONDITION_FAILED, _NOT_FOUND),
        )
        if status == _PRECONDITION_FAILED:
            raise errors.StoreConflictError(
                f"{key} was changed concurrently; read it again."
            )
        if status == _NOT_FOUND:
            raise errors.StoreConflictError(
                "The lease has ended; create a new one."
            )
        version = int(document["rev"])
        self._era.read(key, version if puts else 0)
        return version

    async def _watch(
        self, key: str, after: int, timeout: float
    ) -> ports.Versioned | None:
        rises = self._era.rises
        if rises and key not in self._read_revisions:
            # `after` may be a revision of an older era.
            return await self._get(key)
        try:
            status, document = await self._send_watch(key, after, timeout)
        except errors.StoreUnavailableError:
            if self._era.rises == rises:
                raise
            status, document = _GONE, {}
        if status == _GONE or self._era.rises != rises:
            # The revision from which the watch started does not exist.
            self._read_revisions.pop(key, None)
            return await self._get(key)
        self._record_revision(key, document)
        newest = None
        for event in document.get("events") or ():
            if event["key"] == key and not event.get("tombstone"):
                newest = _versioned(event)
                self._era.read(key, newest.version)
        return newest

    async def _send_watch(
        self, key: str, after: int, timeout: float
    ) -> tuple[int, dict[str, Any]]:
        wait = min(timeout, MAX_WATCH_SECONDS)
        return await self._call(
            "GET",
            "/-/kv-watch",
            query={
                "path_prefix": key,
                "after": max(after, self._read_revisions.get(key, 0)),
                "wait_ms": int(wait * 1000),
            },
            wait=wait,
            accepted=(_GONE,),
        )

    async def _grant(self, ttl: float) -> str:
        # `ttl_s_time` is the time to live of the lease in seconds.
        _, document = await self._write(
            "POST", "/-/kv-lease", {"ttl_s_time": ttl}
        )
        lease = str(document["lease"])
        self._era.granted(lease)
        return lease

    async def _end_or_renew_lease(
        self, method: str, path: str, lease: str
    ) -> None:
        self._era.check_lease(lease)
        status, _ = await self._write(
            method, path, accepted=(_NOT_FOUND,), allow_empty=True
        )
        if status == _NOT_FOUND:
            raise errors.StoreConflictError("The lease has ended.")

    def _record_revision(self, key: str, document: dict[str, Any]) -> None:
        revision = document.get("store_revision")
        if isinstance(revision, int):
            self._read_revisions[key] = max(
                revision, self._read_revisions.get(key, 0)
            )


def _call_handler(handler: Callable[[], None]) -> None:
    try:
        handler()
    except Exception:
        # The other handlers must still learn of the new era.
        _log.error(
            "a handler failed to handle a new era of the store.",
            traceback=failure.Failure().getTraceback(),
        )


def _store_revision(document: dict[str, Any]) -> int:
    """Returns the revision of the store that a response states, or 0."""
    revision = document.get("store_revision")
    return revision if isinstance(revision, int) else 0


def _convert_decode_errors(
    operation: Coroutine[Any, Any, _T],
) -> "defer.Deferred[_T]":
    """Runs a call and converts decoding errors to `StoreUnavailableError`."""

    async def run() -> _T:
        try:
            return await operation
        except _DECODE_ERRORS as error:
            raise errors.StoreUnavailableError(
                "The store sent a document that cannot be decoded; check that "
                "the configured address is that of the store."
            ) from error

    return defer.ensureDeferred(run())


def _parse_reply(
    reply: http.Reply, allow_empty: bool = False
) -> dict[str, Any]:
    if not reply.body and (allow_empty or reply.status != _OK):
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
        "The store sent a document that cannot be decoded; check that the "
        "configured address is that of the store."
    )


def _versioned(item: dict[str, Any]) -> ports.Versioned:
    return ports.Versioned(
        base64.b64decode(item["value"], validate=True),
        int(item["rev"]),
        str(item.get("lease") or ""),
    )
