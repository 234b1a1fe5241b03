"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import json
import time
import urllib.parse
from typing import Any

from standins import http

Query = dict[str, str]
Result = tuple[int, dict[str, Any]]


class Store:
    """A linearizable key-value store with leases.

    Attributes:
        revision: Number of the last change.
        items: Items by key.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    async def start(self, address: tuple[str, int]) -> None:
        """Listens and lets leases end."""
        await http.serve(address, self._handle)
        self._expiry = asyncio.create_task(self._expire())

    def write(self, key: str, value: str, lease: int = 0) -> None:
        """Writes a base64 value."""
        self.revision += 1
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        self.items[key] = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self._record(self.items[key])

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "rev": self.revision, "tombstone": True})

    def _record(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends) in list(self._leases.items()):
                if ends <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        held = [k for k, item in self.items.items() if item["lease"] == lease]
        for key in held:
            self.remove(key)

    async def _handle(self, message: http.Message) -> bytes:
        path, _, text = message.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        content = json.loads(message.body) if message.body else {}
        parts = path.split("/")
        name = parts[2].replace("-", "_") if len(parts) > 2 else ""
        method = getattr(self, f"_{name}", None)
        if method is None:
            return http.encode("HTTP/1.1 404 Not Found", {})
        status, body = await method(query or {"id": parts[-1]}, content)
        body = json.dumps({**body, "store_revision": self.revision}).encode()
        kind = {"Content-Type": "application/json"}
        return http.encode(f"HTTP/1.1 {status} Done", kind, body)

    async def _kv_key(self, query: Query, _: Any) -> Result:
        item = self.items.get(query["key"])
        return (200, item) if item else (404, {})

    async def _kv_range(self, query: Query, _: Any) -> Result:
        prefix, after = query["path_prefix"], query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix)]
        found = [self.items[key] for key in keys if key > after]
        return 200, {"items": found, "has_more": False}

    async def _kv_watch(self, query: Query, _: Any) -> Result:
        prefix, after = query["path_prefix"], int(query["after"])
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    async def _kv_txn(self, _: Query, content: Any) -> Result:
        for row in content.get("expected", ()):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item] if item else []}
        leases = [put.get("lease") or 0 for put in content.get("puts", ())]
        if any(lease and lease not in self._leases for lease in leases):
            return 404, {}
        for put, lease in zip(content.get("puts", ()), leases, strict=True):
            self.write(put["key"], put["value"], lease)
        for key in content.get("remove", ()):
            self.remove(key)
        return 200, {"rev": self.revision}

    async def _kv_lease(self, _: Query, content: Any) -> Result:
        seconds = float(content["ttl_s_time"])
        lease = len(self._leases) + self.revision * 1000
        self._leases[lease] = seconds, time.monotonic() + seconds
        return 200, {"lease": lease, "ttl_s_time": seconds}

    async def _kv_keep(self, query: Query, _: Any) -> Result:
        lease = int(query["id"])
        if lease not in self._leases:
            return 404, {}
        seconds, _ends = self._leases[lease]
        self._leases[lease] = seconds, time.monotonic() + seconds
        return 200, {}

    async def _kv_lease_end(self, query: Query, _: Any) -> Result:
        self._end_lease(int(query["id"]))
        return 200, {}
