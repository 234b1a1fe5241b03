"""Safe decoding of packed Cap'n Proto messages from untrusted senders.

The library reads the second and later segments of a packed message lazily, and
its destructor terminates the process if the input is truncated before them.
Messages with several segments are therefore unpacked here and read from a flat
buffer, whose segment table the library validates first. Messages with one
segment, as instances send them, are read completely up front.
"""

import contextlib
from collections.abc import Iterator
from typing import Any

_WORD_BYTES = 8
_ZEROS = 0x00
_LITERALS = 0xFF


@contextlib.contextmanager
def read(schema: Any, data: bytes, max_words: int) -> Iterator[Any]:
    """Opens a packed message as a context manager.

    Args:
        schema: Type of the message.
        data: The packed bytes.
        max_words: Limit on the size of the message and on the words read from
            it, in words of 8 bytes.

    Raises:
        ValueError: The message is truncated, empty or too large.
        capnp.KjException: The message is malformed.
    """
    if segments(data) == 1:
        yield schema.from_bytes_packed(data, traversal_limit_in_words=max_words)
        return
    flat = _unpack(data, max_words)
    with schema.from_bytes(flat, traversal_limit_in_words=max_words) as message:
        yield message


def segments(data: bytes) -> int:
    """Returns the number of segments given in the first word.

    Raises:
        ValueError: The message is empty or truncated.
    """
    if not data:
        raise ValueError("packed message is empty")
    word, _ = _word(data, 0)
    return int.from_bytes(word[:4], "little") + 1


def _word(data: bytes, position: int) -> tuple[bytes, int]:
    """Unpacks the word at `position`; returns it and the next position."""
    tag = data[position]
    position += 1
    count = tag.bit_count()
    present = data[position : position + count]
    if len(present) < count:
        raise ValueError("packed message is truncated")
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
                raise ValueError("packed message is truncated")
            length = data[position] * _WORD_BYTES
            position += 1
            if tag == _ZEROS:
                out += bytes(length)
            else:
                literal = data[position : position + length]
                if len(literal) < length:
                    raise ValueError("packed message is truncated")
                out += literal
                position += length
        if len(out) > max_bytes:
            raise ValueError("packed message is too large")
    return bytes(out)
