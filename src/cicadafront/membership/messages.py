"""Messages between instances."""

from collections.abc import Sequence

import attrs

from cicadafront.membership import records


@attrs.frozen
class Ping:
    """Asks for an acknowledgement, on behalf of `origin` if that is set."""

    origin: str = ""
    origin_address: records.Address = ("", 0)
    origin_sequence: int = 0


@attrs.frozen
class Ack:
    """Answers a ping; `heard` tells whether the direct one arrived."""

    direct_received: bool = True


@attrs.frozen
class PingRequest:
    """Asks a relay to ping an address."""

    address: records.Address


@attrs.frozen
class RelayedAck:
    """Reports to the requester that the relay got an acknowledgement."""

    direct_received: bool


@attrs.frozen
class Broadcast:
    """Urgent message, forwarded as it is."""

    origin: str
    incarnation: int
    serial: int
    topic: str
    payload: bytes


@attrs.frozen
class Want:
    """Asks for broadcasts by short id."""

    ids: tuple[int, ...]


@attrs.frozen
class Digest:
    """Hashes of all buckets of the sender's table."""

    buckets: tuple[int, ...]


@attrs.frozen
class Summary:
    """Digests of all members in some buckets."""

    buckets: tuple[int, ...]
    entries: dict[int, int]


@attrs.frozen
class Fetch:
    """Record hashes that the sender holds, by member; asks for the others."""

    items: dict[int, tuple[int, ...]]
    is_reply: bool = False


@attrs.frozen
class Update:
    """Carries records only."""


Body = (
    Ping
    | Ack
    | PingRequest
    | RelayedAck
    | Broadcast
    | Want
    | Digest
    | Summary
    | Fetch
    | Update
)


@attrs.frozen
class Message:
    """One datagram.

    Attributes:
        sender: Id of the sending instance.
        incarnation: Incarnation of the sender.
        sequence: Number that relates an answer to its question.
        body: What the datagram is for.
        carried: Records that travel with it.
        recent: Short ids of broadcasts that the sender saw lately.
        claims: Versions of instance records of known content: the content
            hash, the version, and whether the instance is a suspect.
        revision: Revision of the configuration that the sender runs.
    """

    sender: str
    incarnation: int
    sequence: int
    body: Body
    carried: Sequence[records.Record] = ()
    recent: tuple[int, ...] = ()
    claims: tuple[tuple[int, int, bool], ...] = ()
    revision: int = 0
