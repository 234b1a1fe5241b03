"""HTTP client of the key-value store.

The protocol has a resource for values and a resource for leases:

- `GET /v1/values?key=K` returns the raw value with the headers `X-Version`
  and `X-Lease`, or 404.
- `GET /v1/values?prefix=P` returns JSON `{"items": [{key, value, version,
  lease}]}` with the values in base64.
- `GET /v1/values?key=K&after=V&wait=S` is a long poll: it returns as soon as
  the version exceeds V, or 204 after S seconds.
- `PUT` and `DELETE /v1/values?key=K[&expected=V][&lease=L]` return JSON
  `{"version"}`, or 409 if the current version is not V.
- `POST /v1/leases?ttl=S` returns `{"lease"}`; `PUT` and `DELETE
  /v1/leases?lease=L` renew and revoke the lease, or return 409 once it has
  expired.

Each request has an `X-Exchange-Id`. A store that echoes it shows to which
request a response belongs.
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

# Responses take milliseconds; a store that needs longer than this counts as
# unavailable.
CALL_TIMEOUT_SECONDS = 2.0
MAX_VALUE_BYTES = 1_000_000
# Shorter than the idle timeout of common servers (60 s), so that no request is
# sent on a connection that the server is closing.
IDLE_CONNECTION_SECONDS = 20


class StoreRefusedError(errors.CicadafrontError):
    """The store rejected a request; a retry would fail as well."""

    code = "store_refused"


class MismatchedResponseError(errors.CicadafrontError):
    """The store sent the response to another request."""

    code = "store_answer_crossed"


_EXCHANGE_IDS = itertools.count(random.SystemRandom().getrandbits(62))
_HEADERS: dict[bytes | str, bytes | str] = {
    "Content-Type": "application/octet-stream"
}


@attrs.frozen
class _Response:
    status: int
    headers: Any
    body: bytes


def _conflict_error(what: str) -> errors.StoreConflictError:
    return errors.StoreConflictError(
        f"{what} was changed concurrently; read it again before you retry"
    )


class HttpStore:
    """The `Store` interface over HTTP; calls are never retried.

    Attributes:
        calls: Number of calls by result: `ok`, `refused` or `unavailable`.

    Args:
        reactor: Twisted reactor.
        url: Base URL such as `http://127.0.0.1:2379`.
        timeout: Time limit of a call in seconds; a watch adds its waiting
            time.
    """

    def __init__(
        self, reactor: Any, url: str, timeout: float = CALL_TIMEOUT_SECONDS
    ):
        self.calls: collections.Counter[str] = collections.Counter()
        self._reactor = reactor
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._echoes_ids = False
        # A retried write could take effect twice, so the pool must not retry
        # after a lost connection.
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
    ) -> _Response:
        id = f"{next(_EXCHANGE_IDS):016x}"
        raw = await self._http.request(
            method,
            f"{self._url}{path}?{parse.urlencode(query)}",
            data=data,
            headers={**_HEADERS, dialect.EXCHANGE_ID: id},
            allow_redirects=False,
            unbuffered=True,
        )
        content = await body.read(raw)
        response = _Response(raw.code, raw.headers, content)
        echoed = _header(response, dialect.EXCHANGE_ID.decode())
        self._echoes_ids = self._echoes_ids or bool(echoed)
        if self._echoes_ids and echoed != id:
            # The response to this request may still arrive on its connection.
            self._pool.closeCachedConnections()
            raise MismatchedResponseError(
                "The response belongs to another request; check the store. "
                "A write may have taken effect."
            )
        return response

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        data: bytes | None = None,
        wait: float = 0.0,
    ) -> _Response:
        result = "unavailable"
        try:
            response = await self._exchange(method, path, query, data, wait)
            result = "ok"
        except StoreRefusedError:
            result = "refused"
            raise
        finally:
            self.calls[result] += 1
        return response

    async def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        data: bytes | None,
        wait: float,
    ) -> _Response:
        sending = defer.ensureDeferred(self._send(method, path, query, data))
        try:
            response = await sending.addTimeout(
                self._timeout + wait, self._reactor
            )
        except Exception as error:
            # Twisted reports lost connections with many unrelated exceptions.
            raise errors.StoreUnavailableError(
                f"the store at {self._url} did not respond to {method} {path}"
                f" ({type(error).__name__}); check store_url and the store"
            ) from error
        if response.status >= 500:
            raise errors.StoreUnavailableError(
                f"the store at {self._url} returned {response.status};"
                " check the store"
            )
        known = (200, 204, 404, 409)
        if response.status not in known:
            raise StoreRefusedError(
                f"the store at {self._url} returned {response.status} for"
                f" {method} {path}; check that store_url is correct"
            )
        return response

    def get(self, key: str) -> defer.Deferred[ports.Versioned | None]:
        """Reads a key; returns None if it does not exist."""
        return defer.ensureDeferred(self._read({"key": key}, 0.0))

    def watch(
        self, key: str, after: int, timeout: float
    ) -> defer.Deferred[ports.Versioned | None]:
        """Waits until the version exceeds `after`.

        Args:
            key: Key to watch.
            after: Version that is already known.
            timeout: Waiting time in seconds.

        Returns:
            The new value, or None after the timeout.
        """
        query = {"key": key, "after": after, "wait": timeout}
        return defer.ensureDeferred(self._read(query, timeout))

    async def _read(
        self, query: dict[str, Any], wait: float
    ) -> ports.Versioned | None:
        response = await self._call("GET", "/v1/values", query, wait=wait)
        if response.status in (204, 404):
            return None
        return ports.Versioned(
            response.body,
            int(_header(response, "X-Version")),
            _header(response, "X-Lease"),
        )

    def list(self, prefix: str) -> defer.Deferred[dict[str, ports.Versioned]]:
        """Reads all keys that start with a prefix."""
        return defer.ensureDeferred(self._list(prefix))

    async def _list(self, prefix: str) -> dict[str, ports.Versioned]:
        response = await self._call("GET", "/v1/values", {"prefix": prefix})
        return {
            item["key"]: ports.Versioned(
                base64.b64decode(item["value"]), item["version"], item["lease"]
            )
            for item in _parse_json(response)["items"]
        }

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: str = "",
    ) -> defer.Deferred[int]:
        """Writes a key.

        Args:
            key: Key to write.
            value: New value, of at most `MAX_VALUE_BYTES` bytes.
            expected: Version that the key must have; 0 if it must not exist.
                None writes at any version.
            lease: Lease that the key is attached to; empty for none.

        Returns:
            The new version. Fails with `StoreConflictError` if the version is
            not the expected one, and with `StoreRefusedError` if the value is
            too large.
        """
        return defer.ensureDeferred(self._put(key, value, expected, lease))

    async def _put(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> int:
        check_size(key, value)
        query = _query(key=key, expected=expected, lease=lease or None)
        response = await self._call("PUT", "/v1/values", query, value)
        return int(_parse_accepted(response, key)["version"])

    def delete(
        self, key: str, expected: int | None = None
    ) -> defer.Deferred[None]:
        """Deletes a key; with `expected`, only at that version."""
        query = _query(key=key, expected=expected)
        return self._request_change("DELETE", "/v1/values", query, key)

    def grant_lease(self, ttl: float) -> defer.Deferred[str]:
        """Creates a lease of `ttl` seconds and returns its id."""
        return defer.ensureDeferred(self._grant(ttl))

    async def _grant(self, ttl: float) -> str:
        response = await self._call("POST", "/v1/leases", {"ttl": ttl})
        return str(_parse_json(response)["lease"])

    def renew_lease(self, lease: str) -> defer.Deferred[None]:
        """Renews a lease; fails with `StoreConflictError` once it expired."""
        return self._request_change(
            "PUT", "/v1/leases", {"lease": lease}, "the lease"
        )

    def revoke_lease(self, lease: str) -> defer.Deferred[None]:
        """Revokes a lease; the keys attached to it are deleted."""
        query = {"lease": lease}
        return self._request_change("DELETE", "/v1/leases", query, "the lease")

    def _request_change(
        self, method: str, path: str, query: dict[str, Any], what: str
    ) -> defer.Deferred[None]:
        async def change() -> None:
            _parse_accepted(await self._call(method, path, query), what)

        return defer.ensureDeferred(change())


def check_size(key: str, value: bytes) -> None:
    """Checks a value against the size limit of the store.

    Raises:
        StoreRefusedError: The value has more than `MAX_VALUE_BYTES` bytes.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise StoreRefusedError(
            f"the value of {key} has {len(value)} bytes; the limit of the"
            f" store is {MAX_VALUE_BYTES}, so split the value"
        )


def _query(**values: Any) -> dict[str, Any]:
    return {name: value for name, value in values.items() if value is not None}


def _header(response: _Response, name: str) -> str:
    values = response.headers.getRawHeaders(name, [""])
    return values[0]


def _parse_json(response: _Response) -> Any:
    try:
        return json.loads(response.body)
    except ValueError as error:
        raise errors.StoreUnavailableError(
            "the response is not JSON; check that store_url is correct"
        ) from error


def _parse_accepted(response: _Response, what: str) -> Any:
    if response.status == 409:
        raise _conflict_error(what)
    return _parse_json(response)
