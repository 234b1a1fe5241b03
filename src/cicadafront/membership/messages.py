"""Messages of the gossip protocol."""

from collections.abc import Sequence

import attrs

from cicadafront.membership import records


@attrs.frozen
class Ping:
    """Asks for an acknowledgement.

    Attributes:
        origin: Id of the instance for which a relay sends the ping; empty in
            a direct ping.
        origin_address: Gossip address of the origin.
        origin_sequence: Sequence number of the origin's own ping.
    """

    origin: str = ""
    origin_address: records.Address = ("", 0)
    origin_sequence: int = 0


@attrs.frozen
class Ack:
    """Acknowledges a ping.

    Attributes:
        direct_received: Whether the direct ping of the probe was received.
    """

    direct_received: bool = True


@attrs.frozen
class PingRequest:
    """Asks a relay to ping an address."""

    address: records.Address


@attrs.frozen
class RelayedAck:
    """Tells the requester that the relay received an acknowledgement.

    Attributes:
        direct_received: Whether the target received the requester's ping.
    """

    direct_received: bool


@attrs.frozen
class Broadcast:
    """Urgent message that receivers forward unchanged.

    Attributes:
        origin: Id of the instance that created it.
        incarnation: Incarnation of the origin.
        serial: Number of the broadcast, unique within the incarnation.
        topic: Topic under which handlers are registered.
        payload: Encoded content.
    """

    origin: str
    incarnation: int
    serial: int
    topic: str
    payload: bytes


@attrs.frozen
class Want:
    """Requests missing broadcasts by short id."""

    ids: tuple[int, ...]


@attrs.frozen
class Digest:
    """Digests of all buckets of the sender's table."""

    buckets: tuple[int, ...]


@attrs.frozen
class Summary:
    """Digests of all members in some buckets.

    Attributes:
        buckets: Numbers of the buckets.
        entries: Member digests by id hash.
    """

    buckets: tuple[int, ...]
    entries: dict[int, int]


@attrs.frozen
class Fetch:
    """Requests records of some members, except those already held.

    Attributes:
        items: Hashes of the records that the sender holds, by id hash.
        is_reply: Whether it answers another fetch; it is then not answered
            with a fetch again.
    """

    items: dict[int, tuple[int, ...]]
    is_reply: bool = False


@attrs.frozen
class Update:
    """Carries only records or claims."""


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
        sequence: Number that matches a response to its request.
        body: Content specific to the type of message.
        carried: Records piggybacked on the message.
        recent: Short ids of broadcasts that the sender received recently.
        claims: Compact updates of instance records whose content the
            receiver knows: the content hash, the version, and whether the
            instance is suspect.
        revision: Configuration revision that the sender runs.
        evacuations: Token of the evacuations that the sender knows.
    """

    sender: str
    incarnation: int
    sequence: int
    body: Body
    carried: Sequence[records.Record] = ()
    recent: tuple[int, ...] = ()
    claims: tuple[tuple[int, int, bool], ...] = ()
    revision: int = 0
    evacuations: int = 0
