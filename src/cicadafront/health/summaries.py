"""Wire format of the target summaries that agents of a service exchange."""

import struct

from cicadafront.health import reference

METHOD = "health.summary"
_NO_WINDOW = -1.0
_HEAD = struct.Struct("!fB")


def encode(
    service: str, window: float | None, summaries: list[reference.Summary]
) -> bytes:
    """Encodes the body of a summary call or of its reply.

    Args:
        service: Id of the service.
        window: Time span of the requested slowdown, in seconds; None for a
            periodic exchange.
        summaries: Summaries of the sender's targets.
    """
    name = service.encode()
    head = _HEAD.pack(_NO_WINDOW if window is None else window, len(name))
    packed = [summary.encode() for summary in summaries]
    return head + name + b"".join(bytes([len(p)]) + p for p in packed)


def decode(
    data: bytes,
) -> tuple[str, float | None, list[reference.Summary]]:
    """Decodes a body into service, window and summaries.

    Raises:
        ValueError: The body is malformed.
    """
    if len(data) < _HEAD.size:
        raise ValueError(f"summary message of {len(data)} bytes is too short")
    window, length = _HEAD.unpack_from(data)
    place = _HEAD.size + length
    service = data[_HEAD.size : place].decode()
    found = []
    while place < len(data):
        size = data[place]
        found.append(
            reference.Summary.decode(data[place + 1 : place + 1 + size])
        )
        place += 1 + size
    return service, None if window < 0 else window, found
