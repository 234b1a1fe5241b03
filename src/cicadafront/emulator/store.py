"""Emulated key-value store with fault injection, in process and over HTTP.

`python -m cicadafront.emulator.store --port N` serves it on 127.0.0.1.
`PUT /admin/faults` with JSON such as `{"outage": true}` sets faults;
`GET /admin/faults` returns the faults, `GET /admin/counts` the number of calls.
"""

import argparse
import base64
import collections
import json
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import klein
from twisted.internet import defer, task
from twisted.web import server

from cicadafront import dialect, errors, ports
from cicadafront.emulator import keyvalue
from cicadafront.store import client

T = TypeVar("T")


@attrs.define
class Faults:
    """Faults that the emulated store injects.

    Attributes:
        outage: Whether calls fail without taking effect.
        slow: Seconds by which each response is delayed.
        lose_answers: Number of following writes that take effect but whose
            responses are lost.
        lose_requests: Number of following writes that are lost before they
            take effect.
    """

    outage: bool = False
    slow: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0


def _unavailable() -> errors.StoreUnavailableError:
    return errors.StoreUnavailableError(
        "the emulated store does not answer; end the fault or retry later"
    )


class EmulatedStore:
    """In-process implementation of the `Store` interface.

    Several of these may share one `KeyValues`. Each then represents the
    connection of one instance to the store and has its own faults.

    Args:
        clock: Twisted reactor or `task.Clock`.
        values: The stored data; new by default.

    Attributes:
        faults: The current faults.
        counts: Number of calls by kind; a pending watch counts once.
    """

    def __init__(self, clock: Any, values: keyvalue.KeyValues | None = None):
        self._clock = clock
        self._values = values or keyvalue.KeyValues(clock)
        self.faults = Faults()
        self.counts: collections.Counter[str] = collections.Counter()

    def with_shared_data(self) -> "EmulatedStore":
        """Returns a store with the same data and separate faults."""
        return EmulatedStore(self._clock, self._values)

    @property
    def era(self) -> int:
        """Number of times that the store has reverted to a copy."""
        return self._values.era

    def copy(self) -> keyvalue.KeyValues:
        """Returns a copy of the data for `revert`."""
        return self._values.copy()

    def revert(self, copy: keyvalue.KeyValues) -> None:
        """Restores a copy; what was written since is lost."""
        self._values.revert(copy)

    def set_outage(self, outage: bool) -> None:
        """Starts or ends an outage; pending watches fail at its start."""
        self.faults.outage = outage
        if outage:
            self._values.break_watches()

    def get(self, key: str) -> defer.Deferred[ports.Versioned | None]:
        """Reads one key."""
        return self._call("get", lambda: self._values.get(key))

    def list(self, prefix: str) -> defer.Deferred[dict[str, ports.Versioned]]:
        """Reads all keys with a prefix."""
        return self._call("list", lambda: self._values.list(prefix))

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: str = "",
    ) -> defer.Deferred[int]:
        """Writes a key and returns its new version."""
        return self._write(
            "put", lambda: self._values.put(key, value, expected, lease)
        )

    def delete(
        self, key: str, expected: int | None = None
    ) -> defer.Deferred[None]:
        """Deletes a key; if `expected` is given, only at that version."""
        return self._write("delete", lambda: self._values.delete(key, expected))

    def watch(
        self, key: str, after: int, timeout: float
    ) -> defer.Deferred[ports.Versioned | None]:
        """Waits for a version above `after`; returns None on timeout."""
        return self._call(
            "watch", lambda: self._values.watch(key, after, timeout)
        )

    def grant_lease(self, ttl: float) -> defer.Deferred[str]:
        """Creates a lease and returns its id."""
        return self._write("grant", lambda: self._values.grant_lease(ttl))

    def renew_lease(self, lease: str) -> defer.Deferred[None]:
        """Renews a lease; fails with `StoreConflictError` if it expired."""
        return self._write("renew", lambda: self._values.renew_lease(lease))

    def revoke_lease(self, lease: str) -> defer.Deferred[None]:
        """Revokes a lease and deletes the keys attached to it."""
        return self._write("revoke", lambda: self._values.revoke_lease(lease))

    def _write(self, kind: str, effect: Callable[[], T]) -> defer.Deferred[T]:
        if not self.faults.outage and self.faults.lose_requests:
            self.faults.lose_requests -= 1
            self.counts[kind] += 1
            return self._delayed(defer.fail(_unavailable()))
        if not self.faults.outage and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            done = self._call(kind, effect)
            done.addBoth(lambda _: defer.fail(_unavailable()))
            return done
        return self._call(kind, effect)

    def _call(
        self, kind: str, effect: Callable[[], Any]
    ) -> defer.Deferred[Any]:
        self.counts[kind] += 1
        if self.faults.outage:
            return defer.fail(_unavailable())
        return self._delayed(defer.maybeDeferred(effect))

    def _delayed(self, done: defer.Deferred[T]) -> defer.Deferred[T]:
        slow = self.faults.slow
        if slow <= 0:
            return done
        if slow > client.CALL_TIMEOUT_SECONDS:
            done.addErrback(lambda _: None)
            done.addBoth(lambda _: defer.fail(_unavailable()))
            slow = client.CALL_TIMEOUT_SECONDS
        done.addBoth(
            lambda result: task.deferLater(self._clock, slow, lambda: result)
        )
        return done


class StoreApp:
    """HTTP application that serves a store to `store.client`."""

    app = klein.Klein()

    def __init__(self, store: EmulatedStore):
        self.store = store

    @app.route("/v1/values", methods=["GET"])
    async def read(self, request: Any) -> bytes:
        """Reads, lists or watches values."""
        key = _argument(request, "key")
        if key is None:
            prefix = _argument(request, "prefix") or ""
            found = await self._await_result(request, self.store.list(prefix))
            return _json(request, {"items": _items(found or {})})
        after = _argument(request, "after")
        if after is None:
            pending: defer.Deferred[Any] = self.store.get(key)
        else:
            wait = float(_argument(request, "wait") or 0)
            pending = self.store.watch(key, int(after), wait)
        value = await self._await_result(request, pending)
        if value is None:
            request.setResponseCode(404 if after is None else 204)
            return b""
        request.setHeader("X-Version", str(value.version))
        request.setHeader("X-Lease", value.lease)
        return value.value

    @app.route("/v1/values", methods=["PUT"])
    async def write(self, request: Any) -> bytes:
        """Writes a value."""
        pending = self.store.put(
            _argument(request, "key") or "",
            request.content.read(),
            _expected(request),
            _argument(request, "lease") or "",
        )
        return _json(
            request, {"version": await self._await_result(request, pending)}
        )

    @app.route("/v1/values", methods=["DELETE"])
    async def remove(self, request: Any) -> bytes:
        """Deletes a value."""
        key = _argument(request, "key") or ""
        pending: defer.Deferred[Any]
        pending = self.store.delete(key, _expected(request))
        await self._await_result(request, pending)
        return _json(request, {"version": 0})

    @app.route("/v1/leases", methods=["POST", "PUT", "DELETE"])
    async def lease(self, request: Any) -> bytes:
        """Grants, renews or revokes a lease."""
        lease = _argument(request, "lease") or ""
        pending: defer.Deferred[Any]
        match request.method:
            case b"POST":
                ttl = float(_argument(request, "ttl") or 0)
                pending = self.store.grant_lease(ttl)
            case b"PUT":
                pending = self.store.renew_lease(lease)
            case _:
                pending = self.store.revoke_lease(lease)
        granted = await self._await_result(request, pending)
        return _json(request, {"lease": granted or lease})

    @app.route("/admin/faults", methods=["GET", "PUT"])
    def admin_faults(self, request: Any) -> bytes:
        """Returns the faults; PUT first sets those given in the body."""
        if request.method == b"PUT":
            wanted = json.loads(request.content.read())
            unknown = wanted.keys() - attrs.fields_dict(Faults).keys()
            if unknown:
                request.setResponseCode(400)
                return _json(request, {"unknown": sorted(unknown)})
            for name, value in wanted.items():
                setattr(self.store.faults, name, value)
            self.store.set_outage(self.store.faults.outage)
        return _json(request, attrs.asdict(self.store.faults))

    @app.route("/admin/counts", methods=["GET"])
    def admin_counts(self, request: Any) -> bytes:
        """Returns the number of calls by kind."""
        items = [
            {"kind": kind, "count": count}
            for kind, count in sorted(self.store.counts.items())
        ]
        return _json(request, {"items": items})

    async def _await_result(
        self, request: Any, pending: defer.Deferred[Any]
    ) -> Any:
        exchange_id = request.getHeader(dialect.EXCHANGE_ID)
        if exchange_id:
            request.setHeader(dialect.EXCHANGE_ID, exchange_id)
        try:
            return await pending
        except keyvalue.RevisionGoneError:
            raise _Refusal(410) from None
        except errors.StoreUnavailableError:
            # A lost response appears as an aborted connection, not a status.
            request.transport.abortConnection()
            raise
        except errors.StoreConflictError:
            raise _Refusal(409) from None
        except client.StoreRefusedError:
            raise _Refusal(413) from None
        finally:
            request.setHeader("Store-Era", str(self.store.era))

    @app.handle_errors(errors.StoreUnavailableError)  # type: ignore[arg-type]
    def finish_aborted(self, request: Any, _failure: Any) -> bytes:
        """Finishes a call whose connection was aborted."""
        return b""

    @app.handle_errors(Exception)
    def send_refusal(self, request: Any, failure: Any) -> bytes:
        """Sends the HTTP status of a refused call; 400 by default."""
        refusal = failure.value
        status = refusal.status if isinstance(refusal, _Refusal) else 400
        request.setResponseCode(status)
        return _json(request, {"status": status})


class _Refusal(Exception):  # noqa: N818 - carries the status of a refusal
    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


def _argument(request: Any, name: str) -> str | None:
    values = request.args.get(name.encode())
    return values[0].decode() if values else None


def _expected(request: Any) -> int | None:
    value = _argument(request, "expected")
    return None if value is None else int(value)


def _items(found: dict[str, ports.Versioned]) -> list[dict[str, Any]]:
    return [
        {
            "key": key,
            "value": base64.b64encode(value.value).decode(),
            "version": value.version,
            "lease": value.lease,
        }
        for key, value in found.items()
    ]


def _json(request: Any, data: Any) -> bytes:
    request.setHeader("Content-Type", "application/json")
    return json.dumps(data).encode()


def site(store: EmulatedStore) -> server.Site:
    """Returns the HTTP site of a store."""
    return server.Site(StoreApp(store).app.resource())


def main() -> None:
    """Serves a new, empty store until the process is stopped."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--host", default="127.0.0.1")
    options = parser.parse_args()
    running: Any = reactor
    running.listenTCP(
        options.port, site(EmulatedStore(running)), interface=options.host
    )
    running.run()


if __name__ == "__main__":
    main()
