"""Header rules that the edge and the agent share."""

from collections.abc import Iterable

from cicadafront import model

# Fields that concern one connection only (RFC 9110 section 7.6.1). Trailers
# are dropped, so `Trailer` goes with them.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
CHUNKED = (b"Transfer-Encoding", b"chunked")


def end_to_end(
    headers: Iterable[tuple[bytes, bytes]],
    drop: frozenset[bytes] = frozenset(),
) -> model.Headers:
    """Returns the headers that a proxy passes on, in their order.

    Args:
        headers: Headers as received.
        drop: Further lower-case names to remove.
    """
    kept = [(name, value, name.lower()) for name, value in headers]
    listed: frozenset[bytes] = HOP_BY_HOP | drop
    for _, value, lower in kept:
        if lower == b"connection":
            names = (item.strip().lower() for item in value.split(b","))
            listed |= frozenset(names)
    return tuple(
        (name, value) for name, value, lower in kept if lower not in listed
    )


def value_of(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Returns the first value of a lower-case field name, or no bytes."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""
