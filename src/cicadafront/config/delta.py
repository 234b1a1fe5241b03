"""Differences between two versions of a document; free of I/O.

A document is split after each closing brace, which is about once for each
route of a JSON document. A delta consists of runs of pieces that the base has
as well, and of the bytes in between, all compressed. With an empty base it
contains the whole document.
"""

import hashlib
import struct
import zlib
from collections.abc import Iterator

from cicadafront import errors

DIGEST_BYTES = 8
# Largest document; the platform's store accepts 1 MiB.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024

_SEPARATOR = b"}"
# Digest of the document and number of runs.
_HEAD = struct.Struct(f"!{DIGEST_BYTES}sI")
# Bytes that are not in the base, then first piece of the base and number of
# pieces that follow them.
_RUN = struct.Struct("!III")


class DeltaError(errors.CicadafrontError):
    """A delta is damaged, or belongs to another base."""

    code = "delta_invalid"


def digest(document: bytes) -> bytes:
    """Returns a short digest that identifies a document."""
    return hashlib.blake2b(document, digest_size=DIGEST_BYTES).digest()


def encode(document: bytes, base: bytes) -> bytes:
    """Returns the delta that turns a base into a document."""
    pieces = _split(document)
    runs: list[bytes] = []
    literals: list[bytes] = []
    for literal, start, count in _runs(pieces, _split(base)):
        runs.append(_RUN.pack(len(literal), start, count))
        literals.append(literal)
    head = _HEAD.pack(digest(document), len(runs))
    content = b"".join([head, *runs, *literals])
    return zlib.compress(content, zlib.Z_BEST_SPEED)


def apply(delta: bytes, base: bytes) -> bytes:
    """Returns the document that a delta makes of a base.

    Raises:
        DeltaError: The delta is damaged, or was made for another base.
    """
    content = _decompress(delta)
    pieces = _split(base)
    try:
        expected, number = _HEAD.unpack_from(content)
        literal_at = _HEAD.size + number * _RUN.size
        out: list[bytes] = []
        size = 0
        for index in range(number):
            length, start, count = _RUN.unpack_from(
                content, _HEAD.size + index * _RUN.size
            )
            run = [
                content[literal_at : literal_at + length],
                *pieces[start : start + count],
            ]
            literal_at += length
            size += sum(map(len, run))
            if size > MAX_DOCUMENT_BYTES:
                raise DeltaError("The document of a delta is too large.")
            out += run
    except struct.error as error:
        raise DeltaError("A delta ends early.") from error
    document = b"".join(out)
    if digest(document) != expected:
        raise DeltaError("A delta is damaged or belongs to another base.")
    return document


def _split(document: bytes) -> list[bytes]:
    pieces = [piece + _SEPARATOR for piece in document.split(_SEPARATOR)]
    # Nothing follows the last piece.
    pieces[-1] = pieces[-1][: -len(_SEPARATOR)]
    return pieces if pieces[-1] else pieces[:-1]


def _runs(
    pieces: list[bytes], base: list[bytes]
) -> Iterator[tuple[bytes, int, int]]:
    """Yields literal bytes and the run of the base that follows them."""
    places: dict[bytes, int] = {}
    for place, piece in enumerate(base):
        places.setdefault(piece, place)
    literal: list[bytes] = []
    index = 0
    while index < len(pieces):
        start = places.get(pieces[index])
        if start is None:
            literal.append(pieces[index])
            index += 1
            continue
        count = _common_length(pieces, index, base, start)
        yield b"".join(literal), start, count
        literal.clear()
        index += count
    if literal:
        yield b"".join(literal), 0, 0


def _common_length(
    one: list[bytes], first: int, other: list[bytes], second: int
) -> int:
    """Returns how many pieces are the same from two places on."""
    most = min(len(one) - first, len(other) - second)
    count = 0
    while count < most and one[first + count] == other[second + count]:
        count += 1
    return count


def _decompress(delta: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(delta, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise DeltaError(f"A delta cannot be decompressed: {error}.") from error
    if not decompressor.eof:
        raise DeltaError("A delta is too large or ends early.")
    return content
