"""Client of the key-value store over HTTP.

The protocol has one resource for values and one for leases:

- `GET /v1/values?key=K` answers the raw value with the headers `X-Version`
  and `X-Lease`, or 404.
- `GET /v1/values?prefix=P` answers JSON `{"items": [{key, value, version,
  lease}]}` with the values in base64.
- `GET /v1/values?key=K&after=V&wait=S` is a long poll: it answers as soon as
  the version exceeds V, or 204 after S seconds.
- `PUT` and `DELETE /v1/values?key=K[&expected=V][&lease=L]` answer JSON
  `{"version"}`, or 409 when the version differs.
- `POST /v1/leases?ttl=S` answers `{"lease"}`; `PUT` and `DELETE
  /v1/leases?lease=L` renew and revoke, or answer 409 once it has lapsed.

Each call has an `X-Exchange-Id`. A store that copies it into its answers shows
which call an answer belongs to.
"""

import base64
import collections
import itertools
import json
import random
from typing import Any
from urllib import parse

import attrs
from treq import client as treq_client
from twisted.internet import defer
from twisted.web import client as web_client

from cicadafront import dialect, errors, ports
from cicadafront.store import body

# Answers take milliseconds; a store that needs longer counts as unavailable.
CALL_TIMEOUT_SECONDS = 2.0
MAX_VALUE_BYTES = 1_000_000
# Shorter than the idle timeout of common servers (60 s), so that a request
# is not sent on a connection that the server is just closing.
IDLE_CONNECTION_SECONDS = 20


class StoreRefusedError(errors.CicadafrontError):
    """The store understood the call and refused it for good."""

    code = "store_refused"


class CrossedAnswerError(errors.CicadafrontError):
    """The store sent an answer to another call."""

    code = "store_answer_crossed"


_EXCHANGE_IDS = itertools.count(random.SystemRandom().getrandbits(62))
_HEADERS: dict[bytes | str, bytes | str] = {
    "Content-Type": "application/octet-stream"
}


@attrs.frozen
class _Answer:
    status: int
    headers: Any
    body: bytes


def _conflict(what: str) -> errors.StoreConflictError:
    return errors.StoreConflictError(
        f"{what} was changed by someone else; read it again and decide anew"
    )


class HttpStore:
    """The `Store` interface over HTTP; it never repeats a call by itself.

    Attributes:
        calls: Number of calls by result: `ok`, `refused` or `unavailable`.

    Args:
        reactor: Twisted reactor.
        url: Address such as `http://127.0.0.1:2379`.
        timeout: Seconds for a call; a watch gets its own wait on top.
    """

    def __init__(
        self, reactor: Any, url: str, timeout: float = CALL_TIMEOUT_SECONDS
    ):
        self.calls: collections.Counter[str] = collections.Counter()
        self._reactor = reactor
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._copies_ids = False
        # A repeated write could take effect twice, so the pool must not
        # retry on a broken connection.
        self._pool = web_client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_SECONDS
        agent: Any = web_client.Agent(
            reactor, connectTimeout=timeout, pool=self._pool
        )
        self._http = treq_client.HTTPClient(agent)

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections."""
        return self._pool.closeCachedConnections()

    async def _send(
        self, method: str, path: str, query: dict[str, Any], data: bytes | None
    ) -> _Answer:
        id = f"{next(_EXCHANGE_IDS):016x}"
        response = await self._http.request(
            method,
            f"{self._url}{path}?{parse.urlencode(query)}",
            data=data,
            headers={**_HEADERS, dialect.EXCHANGE_ID: id},
            allow_redirects=False,
            unbuffered=True,
        )
        content = await body.read(response)
        answer = _Answer(response.code, response.headers, content)
        copied = _header(answer, dialect.EXCHANGE_ID.decode())
        self._copies_ids = self._copies_ids or bool(copied)
        if self._copies_ids and copied != id:
            # The answer to this call may still come on its connection.
            self._pool.closeCachedConnections()
            raise CrossedAnswerError(
                "An answer belongs to another call; check the store. A write "
                "may have taken effect."
            )
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        data: bytes | None = None,
        wait: float = 0.0,
    ) -> _Answer:
        result = "unavailable"
        try:
            answer = await self._exchange(method, path, query, data, wait)
            result = "ok"
        except StoreRefusedError:
            result = "refused"
            raise
        finally:
            self.calls[result] += 1
        return answer

    async def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        data: bytes | None,
        wait: float,
    ) -> _Answer:
        sending = defer.ensureDeferred(self._send(method, path, query, data))
        try:
            answer = await sending.addTimeout(
                self._timeout + wait, self._reactor
            )
        except Exception as error:
            # Twisted reports lost connections with many unrelated classes.
            raise errors.StoreUnavailableError(
                f"the store at {self._url} did not answer {method} {path}"
                f" ({type(error).__name__}); check store_url and the store"
            ) from error
        if answer.status >= 500:
            raise errors.StoreUnavailableError(
                f"the store at {self._url} answered {answer.status};"
                " check the store"
            )
        known = (200, 204, 404, 409)
        if answer.status not in known:
            raise StoreRefusedError(
                f"the store at {self._url} answered {answer.status} to"
                f" {method} {path}; check that store_url names the store"
            )
        return answer

    def get(self, key: str) -> defer.Deferred[ports.Versioned | None]:
        """Reads one key."""
        return defer.ensureDeferred(self._read({"key": key}, 0.0))

    def watch(
        self, key: str, after: int, timeout: float
    ) -> defer.Deferred[ports.Versioned | None]:
        """Waits until the version exceeds `after`; None after the timeout."""
        query = {"key": key, "after": after, "wait": timeout}
        return defer.ensureDeferred(self._read(query, timeout))

    async def _read(
        self, query: dict[str, Any], wait: float
    ) -> ports.Versioned | None:
        answer = await self._call("GET", "/v1/values", query, wait=wait)
        if answer.status in (204, 404):
            return None
        return ports.Versioned(
            answer.body,
            int(_header(answer, "X-Version")),
            _header(answer, "X-Lease"),
        )

    def list(self, prefix: str) -> defer.Deferred[dict[str, ports.Versioned]]:
        """Reads all keys with a prefix."""
        return defer.ensureDeferred(self._list(prefix))

    async def _list(self, prefix: str) -> dict[str, ports.Versioned]:
        answer = await self._call("GET", "/v1/values", {"prefix": prefix})
        return {
            item["key"]: ports.Versioned(
                base64.b64decode(item["value"]), item["version"], item["lease"]
            )
            for item in _parsed(answer)["items"]
        }

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: str = "",
    ) -> defer.Deferred[int]:
        """Writes a key and returns its new version."""
        return defer.ensureDeferred(self._put(key, value, expected, lease))

    async def _put(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> int:
        check_size(key, value)
        query = _query(key=key, expected=expected, lease=lease or None)
        answer = await self._call("PUT", "/v1/values", query, value)
        return int(_accepted(answer, key)["version"])

    def delete(
        self, key: str, expected: int | None = None
    ) -> defer.Deferred[None]:
        """Deletes a key, with `expected` only at that version."""
        query = _query(key=key, expected=expected)
        return self._change("DELETE", "/v1/values", query, key)

    def grant_lease(self, ttl: float) -> defer.Deferred[str]:
        """Creates a lease and returns its id."""
        return defer.ensureDeferred(self._grant(ttl))

    async def _grant(self, ttl: float) -> str:
        answer = await self._call("POST", "/v1/leases", {"ttl": ttl})
        return str(_parsed(answer)["lease"])

    def renew_lease(self, lease: str) -> defer.Deferred[None]:
        """Renews a lease; fails with `StoreConflictError` once it lapsed."""
        return self._change("PUT", "/v1/leases", {"lease": lease}, "the lease")

    def revoke_lease(self, lease: str) -> defer.Deferred[None]:
        """Ends a lease; keys attached to it are deleted."""
        query = {"lease": lease}
        return self._change("DELETE", "/v1/leases", query, "the lease")

    def _change(
        self, method: str, path: str, query: dict[str, Any], what: str
    ) -> defer.Deferred[None]:
        async def change() -> None:
            _accepted(await self._call(method, path, query), what)

        return defer.ensureDeferred(change())


def check_size(key: str, value: bytes) -> None:
    """Raises `StoreRefusedError` for a value above the store's limit."""
    if len(value) > MAX_VALUE_BYTES:
        raise StoreRefusedError(
            f"the value of {key} has {len(value)} bytes; the store takes at"
            f" most {MAX_VALUE_BYTES}, so divide it"
        )


def _query(**values: Any) -> dict[str, Any]:
    return {name: value for name, value in values.items() if value is not None}


def _header(answer: _Answer, name: str) -> str:
    values = answer.headers.getRawHeaders(name, [""])
    return values[0]


def _parsed(answer: _Answer) -> Any:
    try:
        return json.loads(answer.body)
    except ValueError as error:
        raise errors.StoreUnavailableError(
            "the store's answer is not JSON; check that store_url names it"
        ) from error


def _accepted(answer: _Answer, what: str) -> Any:
    if answer.status == 409:
        raise _conflict(what)
    return _parsed(answer)
