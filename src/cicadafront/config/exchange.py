"""Encoding of the configuration messages between instances.

A query names the revision of the sender. The reply carries the responder's
revision, the age of its evidence (see `trust`) and, if its revision is newer,
the manifest: in full, or as a delta to the manifest of the querying instance.
"""

import math
import struct
from collections.abc import Mapping
from typing import Any

import attrs

from cicadafront import errors
from cicadafront.config import parts

_PREFIX_BYTES = 8
_QUERY = struct.Struct("!Q8s")
_REPLY = struct.Struct("!BQ8sf")
_ANNOUNCEMENT = struct.Struct("!Q8s")
_FULL, _DELTA, _TRUSTED = 1, 2, 4


class MessageError(errors.CicadafrontError):
    """A configuration message cannot be decoded."""

    code = "message_invalid"


@attrs.frozen
class Query:
    """The sender's revision and the prefix of its manifest's digest."""

    revision: int
    digest_prefix: bytes


@attrs.frozen
class Reply:
    """Reply to a query.

    Attributes:
        revision: The responder's revision.
        digest_prefix: Prefix of the digest of its manifest.
        age: Age of its evidence in seconds, infinite if it has none.
        trusted: Whether it accepts keys.
        manifest: Its manifest, if newer than that of the querying instance.
    """

    revision: int
    digest_prefix: bytes
    age: float
    trusted: bool
    manifest: parts.Manifest | None


def digest_prefix(digest: str) -> bytes:
    """Returns the first 8 bytes of a digest, zero-padded, for messages."""
    return bytes.fromhex(digest)[:_PREFIX_BYTES].ljust(_PREFIX_BYTES, b"\0")


def encode_query(revision: int, digest: str) -> bytes:
    """Encodes the query of an instance with the given revision."""
    return _QUERY.pack(revision, digest_prefix(digest))


def decode_query(body: bytes) -> Query:
    """Decodes a query.

    Raises:
        MessageError: The query cannot be decoded.
    """
    try:
        return Query(*_QUERY.unpack(body))
    except struct.error as error:
        raise _decode_error("query", error) from error


def encode_announcement(revision: int, digest: str, instance: str) -> bytes:
    """Encodes the announcement that an instance has a revision."""
    return (
        _ANNOUNCEMENT.pack(revision, digest_prefix(digest)) + instance.encode()
    )


def decode_announcement(payload: bytes) -> tuple[int, str]:
    """Returns the revision and the instance of an announcement.

    Raises:
        MessageError: The announcement cannot be decoded.
    """
    try:
        revision, _ = _ANNOUNCEMENT.unpack_from(payload)
        return revision, payload[_ANNOUNCEMENT.size :].decode()
    except (struct.error, UnicodeDecodeError) as error:
        raise _decode_error("announcement", error) from error


def encode_reply(
    query: Query,
    manifest: parts.Manifest | None,
    age: float,
    trusted: bool,
    manifests: Mapping[bytes, parts.Manifest],
) -> bytes:
    """Encodes the reply to a query.

    Args:
        query: The query.
        manifest: The responder's manifest.
        age: Age of its evidence in seconds.
        trusted: Whether it accepts keys.
        manifests: Recent manifests by digest prefix, as bases of a delta.
    """
    flags = _TRUSTED if trusted else 0
    revision = manifest.revision if manifest else 0
    manifest_prefix = digest_prefix(manifest.digest if manifest else "")
    payload = b""
    if manifest and revision > query.revision:
        base = manifests.get(query.digest_prefix)
        flags |= _DELTA if base else _FULL
        payload = _manifest_delta(base, manifest) if base else manifest.pack()
    return _REPLY.pack(flags, revision, manifest_prefix, age) + payload


def _manifest_delta(base: parts.Manifest, manifest: parts.Manifest) -> bytes:
    data = manifest.data()
    wanted = data.pop("parts")
    changed = {k: v for k, v in wanted.items() if base.parts.get(k) != v}
    dropped = sorted(base.parts.keys() - wanted.keys())
    return parts.pack({"head": data, "set": changed, "drop": dropped})[1]


def decode_reply(body: bytes, base: parts.Manifest | None) -> Reply:
    """Decodes a reply.

    Args:
        body: The reply.
        base: The manifest that the query named.

    Raises:
        MessageError: The reply cannot be decoded.
        PartDamagedError: Its manifest is invalid or has another digest.
    """
    try:
        flags, revision, manifest_prefix, age = _REPLY.unpack_from(body)
    except struct.error as error:
        raise _decode_error("reply", error) from error
    if math.isnan(age) or age < 0:
        raise _decode_error("reply", ValueError("invalid age"))
    payload = body[_REPLY.size :]
    manifest = None
    if flags & _FULL:
        manifest = parts.unpack_manifest(payload)
    elif flags & _DELTA:
        manifest = _apply_delta(base, parts.unpack(payload)[0])
    if manifest and (
        digest_prefix(manifest.digest) != manifest_prefix
        or manifest.revision != revision
    ):
        raise parts.PartDamagedError(
            f"the manifest of revision {revision} does not match its digest;"
            " it will be fetched from another peer"
        )
    return Reply(
        revision, manifest_prefix, age, bool(flags & _TRUSTED), manifest
    )


def _apply_delta(base: parts.Manifest | None, delta: Any) -> parts.Manifest:
    try:
        digests = dict(base.parts) if base else {}
        for name in delta["drop"]:
            digests.pop(name, None)
        data = delta["head"] | {"parts": digests | delta["set"]}
    except (KeyError, TypeError) as error:
        raise _decode_error("reply", error) from error
    return parts.manifest_from(data, parts.pack(data)[0])


def _decode_error(kind: str, error: Exception) -> MessageError:
    return MessageError(
        f"cannot decode the {kind} ({error}); run the same release everywhere"
    )
