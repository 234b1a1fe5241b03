"""Reading of packed Cap'n Proto messages that another writer may have sent.

The library reads the second and later segments of a packed message when they
are needed, and its destructor ends the process if the bytes end before them.
Such messages are unpacked here and read from a flat buffer, whose segments the
library checks first. Messages of one segment, as instances send them, are read
as a whole at once.
"""

import contextlib
from collections.abc import Iterator
from typing import Any

_WORD_BYTES = 8
_ZEROS = 0x00
_LITERALS = 0xFF


@contextlib.contextmanager
def read(schema: Any, data: bytes, max_words: int) -> Iterator[Any]:
    """Opens a packed message.

    Args:
        schema: Type of the message.
        data: The packed bytes.
        max_words: Words of 8 bytes that the message may have or refer to.

    Raises:
        ValueError: The bytes end early, or the message is too large.
        capnp.KjException: The bytes are no message.
    """
    if segments(data) == 1:
        yield schema.from_bytes_packed(data, traversal_limit_in_words=max_words)
        return
    flat = _unpack(data, max_words)
    with schema.from_bytes(flat, traversal_limit_in_words=max_words) as message:
        yield message


def segments(data: bytes) -> int:
    """Returns the number of segments that the first word states."""
    if not data:
        raise ValueError("the message is empty")
    word, _ = _word(data, 0)
    return int.from_bytes(word[:4], "little") + 1


def _word(data: bytes, position: int) -> tuple[bytes, int]:
    """Returns the word whose tag is at `position`, and the next position."""
    tag = data[position]
    position += 1
    count = tag.bit_count()
    present = data[position : position + count]
    if len(present) < count:
        raise ValueError("the message ends early")
    rest = iter(present)
    word = bytes(next(rest) if tag >> bit & 1 else 0 for bit in range(8))
    return word, position + count


def _unpack(data: bytes, max_words: int) -> bytes:
    max_bytes = max_words * _WORD_BYTES
    out = bytearray()
    position = 0
    while position < len(data):
        tag = data[position]
        word, position = _word(data, position)
        out += word
        if tag in (_ZEROS, _LITERALS):
            if position >= len(data):
                raise ValueError("the message ends early")
            length = data[position] * _WORD_BYTES
            position += 1
            if tag == _ZEROS:
                out += bytes(length)
            else:
                literal = data[position : position + length]
                if len(literal) < length:
                    raise ValueError("the message ends early")
                out += literal
                position += length
        if len(out) > max_bytes:
            raise ValueError("the message is too large")
    return bytes(out)
