"""Rules for HTTP headers shared by the edge and the agent."""

from collections.abc import Iterable

from cicadafront import model

# Hop-by-hop fields (RFC 9110 section 7.6.1). `Trailer` is included because
# trailers are not forwarded.
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
    """Returns the headers that a proxy forwards, in their original order.

    Args:
        headers: Headers as received.
        drop: Lower-case names of further headers to remove.
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
    """Returns the first value of a field, or empty bytes if it is absent.

    Args:
        headers: Headers as received.
        name: Field name in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""
