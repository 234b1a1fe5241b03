"""Content-addressed parts of a configuration and the manifest listing them.

A part is canonical JSON, compressed with zlib for the store and for peers.
It is addressed by the SHA-256 of the JSON, not of the compressed bytes, so
that the address does not depend on the zlib version.
"""

import hashlib
import json
import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from cicadafront import errors
from cicadafront.config import model

ACCOUNT_BUCKETS = 256
# 8,000 routes give 125 routes, about 3 KB, per part.
ROUTE_BUCKETS = 64
SERVICE_BUCKETS = 16
# The store accepts values of up to 1 MB.
MAX_PART_BYTES = 999_999
# Limits the memory that a damaged or malicious part can use.
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
# The manifest lists the writes of the last revisions, so that a writer whose
# call got no answer can find its write even if others have written since.
RECENT_WRITES = 8
FORMAT = 1


class PartDamagedError(errors.CicadafrontError):
    """A part or manifest is corrupt, incomplete or missing."""

    code = "part_damaged"


def pack(data: Any) -> tuple[str, bytes]:
    """Returns the digest of the data and its compressed encoding.

    Raises:
        ConfigError: The encoding is larger than the store accepts.
    """
    plain = json.dumps(
        data, sort_keys=True, separators=(",", ":"), ensure_ascii=True
    ).encode()
    packed = zlib.compress(plain, 9)
    if len(packed) > MAX_PART_BYTES or len(plain) > MAX_UNPACKED_BYTES:
        raise errors.ConfigError(
            "(merged)",
            "(part)",
            f"a part has {len(packed)} bytes, more than the store's limit of"
            f" {MAX_PART_BYTES}; remove entries",
        )
    return hashlib.sha256(plain).hexdigest(), packed


def unpack(packed: bytes, digest: str | None = None) -> tuple[Any, str]:
    """Returns the data and its digest.

    Raises:
        PartDamagedError: The bytes cannot be decoded, or their digest is not
            the one given.
    """
    try:
        inflater = zlib.decompressobj()
        plain = inflater.decompress(packed, MAX_UNPACKED_BYTES)
        if not inflater.eof:
            raise ValueError("truncated or too large")
        actual = hashlib.sha256(plain).hexdigest()
        if digest is not None and actual != digest:
            raise ValueError(f"digest is {actual}")
        return json.loads(plain), actual
    except (ValueError, RecursionError, zlib.error) as error:
        raise PartDamagedError(
            f"part {digest or '(manifest)'} is damaged: {error}; it will be"
            " fetched from another source; otherwise apply the folder again"
        ) from error


@attrs.frozen
class Write:
    """A past write of the manifest."""

    revision: int
    write: str
    author: str


@attrs.frozen
class Manifest:
    """One revision of the configuration.

    Attributes:
        revision: Number of the revision; increases by one with each change.
        parent: Digest of the previous manifest, or empty.
        write: Unique identifier of the write.
        author: Operator who applied it.
        time: Seconds since the epoch on the author's clock.
        parts: Digest of each part by name.
        recent: The last writes, including this one.
        digest: Digest of this manifest.
    """

    revision: int
    parent: str
    write: str
    author: str
    time: float
    parts: dict[str, str]
    recent: tuple[Write, ...] = ()
    digest: str = attrs.field(default="", eq=False)

    def data(self) -> dict[str, Any]:
        """Returns the content that the digest covers."""
        content = attrs.asdict(self)
        del content["digest"]
        return content | {"format": FORMAT}

    def pack(self) -> bytes:
        """Returns the compressed encoding."""
        return pack(self.data())[1]

    def writer(self, revision: int) -> Write | None:
        """Returns the write of a recent revision, or None if not listed."""
        for past in self.recent:
            if past.revision == revision:
                return past
        return None


def manifest_from(data: Any, digest: str) -> Manifest:
    """Returns the manifest with the given content.

    Raises:
        PartDamagedError: The content is not a valid manifest.
    """
    try:
        if data["format"] != FORMAT:
            raise ValueError(f"format {data['format']} is not supported")
        return Manifest(
            revision=int(data["revision"]),
            parent=str(data["parent"]),
            write=str(data["write"]),
            author=str(data["author"]),
            time=float(data["time"]),
            parts={str(k): str(v) for k, v in data["parts"].items()},
            recent=tuple(Write(**past) for past in data["recent"]),
            digest=digest,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise PartDamagedError(
            f"the manifest is damaged ({error!r}); apply the folder again"
        ) from error


def unpack_manifest(packed: bytes, digest: str | None = None) -> Manifest:
    """Decodes a manifest from its compressed encoding.

    Raises:
        PartDamagedError: The bytes are not a valid manifest, or do not have
            the digest.
    """
    data, actual = unpack(packed, digest)
    return manifest_from(data, actual)


def successor(
    parent: Manifest | None,
    parts: Mapping[str, str],
    write: str,
    author: str,
    time: float,
) -> Manifest:
    """Returns the manifest of the revision that follows `parent`."""
    revision = parent.revision + 1 if parent else 1
    recent = (parent.recent if parent else ()) + (
        Write(revision, write, author),
    )
    plain = Manifest(
        revision,
        parent.digest if parent else "",
        write,
        author,
        time,
        dict(parts),
        recent[-RECENT_WRITES:],
    )
    return attrs.evolve(plain, digest=pack(plain.data())[0])


def bucket(name: str, count: int) -> int:
    """Returns the index of the bucket that a name hashes to."""
    return hashlib.sha256(name.encode()).digest()[0] % count


def divide(configuration: model.Configuration) -> dict[str, tuple[str, bytes]]:
    """Splits a configuration into parts.

    Returns:
        Digest and packed bytes of each non-empty part, by part name.
    """
    content: dict[str, dict[str, dict[str, Any]]] = {}

    def put(part: str, section: str, id: str, entry: dict[str, Any]) -> None:
        content.setdefault(part, {}).setdefault(section, {})[id] = entry

    for account in configuration.accounts.values():
        part = f"accounts/{bucket(account.id, ACCOUNT_BUCKETS):02x}"
        put(part, "accounts", account.id, _entry(account))
    for key in configuration.keys.values():
        part = f"accounts/{bucket(key.account, ACCOUNT_BUCKETS):02x}"
        put(part, "keys", key.id, _entry(key) | {"digest": key.digest.hex()})
    for service in configuration.services.values():
        part = f"services/{bucket(service.name, SERVICE_BUCKETS):02x}"
        put(part, "services", service.name, _entry(service))
    for route in configuration.routes.values():
        part = f"routes/{bucket(route.id, ROUTE_BUCKETS):02x}"
        methods = sorted(route.methods)
        put(part, "routes", route.id, _entry(route) | {"methods": methods})
    return {part: pack(content[part]) for part in sorted(content)}


def _entry(item: Any) -> dict[str, Any]:
    entry = attrs.asdict(item, recurse=False)
    entry.pop("id", None)
    entry.pop("name", None)
    return entry


@attrs.frozen
class Content:
    """The decoded entries of one part."""

    accounts: dict[str, model.ClientAccount]
    keys: dict[str, model.Key]
    services: dict[str, model.Service]
    routes: dict[str, model.Route]


def _known_fields(cls: type, entry: dict[str, Any]) -> dict[str, Any]:
    # A newer release may add fields; older instances ignore them.
    return {
        name: entry[name] for name in attrs.fields_dict(cls) if name in entry
    }


def _account(id: str, entry: dict[str, Any]) -> model.ClientAccount:
    return model.ClientAccount(id, **_known_fields(model.ClientAccount, entry))


def _key(id: str, entry: dict[str, Any]) -> model.Key:
    return model.Key(id, entry["account"], bytes.fromhex(entry["digest"]))


def _service(name: str, entry: dict[str, Any]) -> model.Service:
    return model.Service(name, **_known_fields(model.Service, entry))


def _route(id: str, entry: dict[str, Any]) -> model.Route:
    known = _known_fields(model.Route, entry)
    return model.Route(id, **known | {"methods": frozenset(entry["methods"])})


def content_from(packed: bytes, digest: str) -> Content:
    """Returns the entries of a part.

    Raises:
        PartDamagedError: The bytes do not have the digest, or are not a valid
            part.
    """
    data, _ = unpack(packed, digest)

    def section(
        name: str, make: Callable[[str, dict[str, Any]], Any]
    ) -> dict[str, Any]:
        return {id: make(id, e) for id, e in data.get(name, {}).items()}

    try:
        return Content(
            section("accounts", _account),
            section("keys", _key),
            section("services", _service),
            section("routes", _route),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise PartDamagedError(
            f"part {digest} is not a valid configuration part ({error!r});"
            " apply the folder again with this release"
        ) from error


class PartCache:
    """The parts that an instance has, packed and decoded."""

    def __init__(self) -> None:
        self._parts: dict[str, tuple[bytes, Content]] = {}

    def add(self, digest: str, packed: bytes) -> None:
        """Adds a part after verifying its digest.

        Raises:
            PartDamagedError: The part does not have the digest.
        """
        self._parts[digest] = packed, content_from(packed, digest)

    def packed(self, digest: str) -> bytes | None:
        """Returns the compressed part, or None if it is not cached."""
        entry = self._parts.get(digest)
        return entry[0] if entry else None

    def missing(self, manifest: Manifest) -> list[str]:
        """Returns the digests of the manifest's parts that are not cached."""
        return sorted(set(manifest.parts.values()) - self._parts.keys())

    def keep(self, manifests: Iterable[Manifest]) -> None:
        """Drops the parts that none of the manifests refers to."""
        wanted = {digest for m in manifests for digest in m.parts.values()}
        for digest in self._parts.keys() - wanted:
            del self._parts[digest]

    def build(self, manifest: Manifest) -> model.Configuration:
        """Returns the configuration of a manifest whose parts are cached.

        Raises:
            PartDamagedError: A part is missing.
        """
        absent = self.missing(manifest)
        if absent:
            raise PartDamagedError(
                f"{len(absent)} parts of revision {manifest.revision} are"
                " missing; fetch them first"
            )
        contents = [
            self._parts[manifest.parts[name]][1]
            for name in sorted(manifest.parts)
        ]

        def merged(section: str) -> dict[str, Any]:
            result: dict[str, Any] = {}
            for content in contents:
                result.update(getattr(content, section))
            return result

        return model.Configuration(
            revision=manifest.revision,
            digest=bytes.fromhex(manifest.digest),
            accounts=merged("accounts"),
            keys=merged("keys"),
            services=merged("services"),
            routes=merged("routes"),
        )
