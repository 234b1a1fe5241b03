"""Encoding and decoding of gossip messages (packed Cap'n Proto)."""

import itertools
import pathlib
import struct
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs
import capnp

from cicadafront import errors, model
from cicadafront.membership import messages, packing, records

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("gossip.capnp")))
# Limits memory use: a packed word of 8 zero bytes can expand to 2 KiB. Messages
# of instances stay below this number of words.
_TRAVERSAL_WORDS = 1 << 17
# A page of 24 KiB, packed, fits one segment of this size. Messages with several
# segments take a slower path when they are decoded.
_PAGE_WORDS = 1 << 14
_MAX_SERVING_SECONDS = 255
_SUSPECT_BIT = 1 << 31
# Errors that pycapnp and the conversions raise on malformed input.
_DECODE_ERRORS = (
    capnp.KjException,
    ValueError,
    IndexError,
    KeyError,
    UnicodeDecodeError,
    struct.error,
)


class DatagramError(errors.CicadafrontError):
    """A datagram or payload is malformed."""

    code = "datagram_invalid"


def _pack(values: Iterable[int]) -> bytes:
    values = tuple(values)
    return struct.pack(f"<{len(values)}I", *values)


def _unpack(data) -> tuple[int, ...]:
    data = bytes(data)
    return struct.unpack(f"<{len(data) // 4}I", data)


def _pack_claims(claims: Iterable[tuple[int, int, bool]]) -> bytes:
    return _pack(
        number
        for content, version, suspect in claims
        for number in (content, version | _SUSPECT_BIT * suspect)
    )


def _unpack_claims(data) -> tuple[tuple[int, int, bool], ...]:
    values = _unpack(data)
    return tuple(
        (content, version & ~_SUSPECT_BIT, bool(version & _SUSPECT_BIT))
        for content, version in zip(values[::2], values[1::2], strict=True)
    )


def _instance_fields(record: records.InstanceRecord) -> dict[str, object]:
    peer_host, peer_port = record.peer_address
    gossip_host, gossip_port = record.gossip_address
    fields: dict[str, object] = {
        "version": record.version,
        "liveness": int(record.liveness),
        "leaving": record.leaving,
        "dataCentre": record.data_centre,
        "peerHost": peer_host,
        "peerPort": peer_port,
        "gossipPort": gossip_port,
    }
    if gossip_host != peer_host:
        fields["gossipHost"] = gossip_host
    operators_host, fields["operatorsPort"] = record.operators_address
    if operators_host != peer_host:
        fields["operatorsHost"] = operators_host
    return fields


_STATES = tuple(model.TargetState)
_STATE_NUMBERS = {state: number for number, state in enumerate(_STATES)}


def _target_fields(
    record: records.TargetRecord, now: float
) -> dict[str, object]:
    fields: dict[str, object] = {
        "id": record.id,
        "version": record.version,
    }
    if record.leaving_incarnation:
        fields["leavingIncarnation"] = record.leaving_incarnation
    if record.cold_starts:
        fields["coldStarts"] = record.cold_starts
    if record.gone:
        fields["gone"] = True
        return fields
    fields["service"] = record.service
    fields["port"] = record.address[1]
    fields["slots"] = record.slots
    fields["state"] = _STATE_NUMBERS[record.state]
    fields["weightPercent"] = round(record.weight * 100)
    age = int(max(0, min(_MAX_SERVING_SECONDS, now - record.warm_since)))
    fields["servingSeconds"] = age
    if record.address[0]:
        fields["host"] = record.address[0]
    return fields


def _fill_member(builder, now: float, group: Sequence[records.Record]) -> None:
    targets = []
    for record in group:
        if isinstance(record, records.InstanceRecord):
            builder.id, builder.incarnation = record.id, record.incarnation
            builder.instance = _instance_fields(record)
        else:
            builder.id, builder.incarnation = record.owner, record.incarnation
            targets.append(record)
    if targets:
        builder.targets = [_target_fields(record, now) for record in targets]


def _group(items: Iterable[records.Record]) -> list[list[records.Record]]:
    groups: dict[tuple[str, int], list[records.Record]] = {}
    for record in items:
        if isinstance(record, records.InstanceRecord):
            key = record.id, record.incarnation
            groups.setdefault(key, []).append(record)
        else:
            key = record.owner, record.incarnation
            groups.setdefault(key, []).append(record)
    return list(groups.values())


def _fill_members(message, now: float, items: Iterable[records.Record]) -> None:
    groups = _group(items)
    if groups:
        members = message.init("members", len(groups))
        for builder, group in zip(members, groups, strict=True):
            _fill_member(builder, now, group)


def _body_field(body: messages.Body) -> tuple[str, object]:
    match body:
        case messages.Ping(origin, (host, port), sequence):
            if not origin:
                return "ping", {}
            fields = {
                "origin": origin,
                "originHost": host,
                "originPort": port,
                "originSequence": sequence,
            }
            return "ping", fields
        case messages.Ack(direct_received):
            return "ack", direct_received
        case messages.PingRequest((host, port)):
            return "pingRequest", {"host": host, "port": port}
        case messages.RelayedAck(direct_received):
            return "relayedAck", direct_received
        case messages.Broadcast():
            return "broadcast", attrs.asdict(body)
        case _:
            return _anti_entropy_field(body)


def _anti_entropy_field(
    body: messages.Want
    | messages.Digest
    | messages.Summary
    | messages.Fetch
    | messages.Update,
) -> tuple[str, object]:
    match body:
        case messages.Want(ids):
            return "want", _pack(ids)
        case messages.Digest(buckets):
            return "digest", _pack(buckets)
        case messages.Summary(buckets, entries):
            pairs = itertools.chain.from_iterable(entries.items())
            return "summary", {
                "buckets": bytes(buckets),
                "entries": _pack(pairs),
            }
        case messages.Fetch(items, is_reply):
            listed = [
                {"member": member, "held": _pack(held)}
                for member, held in items.items()
            ]
            return "fetch", {"items": listed, "second": is_reply}
        case _:
            return "update", None


def encode(message: messages.Message, now: float) -> bytes:
    """Encodes a message as a datagram.

    Args:
        message: The message.
        now: The current time in seconds; times of targets are sent as ages.
    """
    name, value = _body_field(message.body)
    builder = _SCHEMA.Datagram.new_message(**{name: value})
    builder.sender = message.sender
    builder.incarnation = message.incarnation
    builder.sequence = message.sequence
    _fill_members(builder, now, message.carried)
    if message.recent:
        builder.recent = _pack(message.recent)
    if message.claims:
        builder.claims = _pack_claims(message.claims)
    builder.revision = message.revision
    builder.evacuations = message.evacuations
    return builder.to_bytes_packed()


def encode_records(items: Iterable[records.Record], now: float) -> bytes:
    """Encodes the payload of a broadcast of records."""
    builder = _SCHEMA.Records.new_message()
    _fill_members(builder, now, items)
    return builder.to_bytes_packed()


def encode_page(
    items: Iterable[records.Record], next: str, now: float
) -> bytes:
    """Encodes one page of a full-state transfer."""
    builder = _SCHEMA.StatePage.new_message(num_first_segment_words=_PAGE_WORDS)
    _fill_members(builder, now, items)
    builder.next = next
    return builder.to_bytes_packed()


def encode_request(after: str) -> bytes:
    """Encodes the request for the page that follows the id `after`."""
    return _SCHEMA.StateRequest.new_message(after=after).to_bytes_packed()


def _operators_address(host: str, body) -> records.Address:
    if not body.operatorsPort:
        return "", 0
    return body.operatorsHost or host, body.operatorsPort


def _decode_instance(member, body) -> records.InstanceRecord:
    host = body.peerHost
    return records.InstanceRecord(
        member.id,
        member.incarnation,
        body.version,
        body.dataCentre,
        (host, body.peerPort),
        (body.gossipHost or host, body.gossipPort),
        records.Liveness(body.liveness.raw),
        body.leaving,
        _operators_address(host, body),
    )


def _decode_targets(member, now: float) -> Iterable[records.TargetRecord]:
    owner, incarnation = member.id, member.incarnation
    for body in member.targets:
        yield records.TargetRecord(
            body.id,
            body.service,
            (body.host, body.port),
            body.slots,
            owner,
            incarnation,
            body.version,
            _STATES[body.state.raw],
            body.weightPercent / 100,
            body.gone,
            body.leavingIncarnation,
            now - body.servingSeconds,
            body.coldStarts,
        )


def _decode_members(members, now: float) -> list[records.Record]:
    items: list[records.Record] = []
    for member in members:
        if member._has("instance"):
            items.append(_decode_instance(member, member.instance))
        items.extend(_decode_targets(member, now))
    return items


def _decode_body(message) -> messages.Body:
    kind = str(message.which())
    body = getattr(message, kind)
    match kind:
        case "ping":
            if not body._has("origin"):
                return messages.Ping()
            address = body.originHost, body.originPort
            return messages.Ping(body.origin, address, body.originSequence)
        case "ack":
            return messages.Ack(body)
        case "pingRequest":
            return messages.PingRequest((body.host, body.port))
        case "relayedAck":
            return messages.RelayedAck(body)
        case "broadcast":
            return messages.Broadcast(
                body.origin,
                body.incarnation,
                body.serial,
                body.topic,
                bytes(body.payload),
            )
        case _:
            return _decode_anti_entropy(kind, body)


def _decode_anti_entropy(kind: str, body) -> messages.Body:
    match kind:
        case "want":
            return messages.Want(_unpack(body))
        case "digest":
            return messages.Digest(_unpack(body))
        case "summary":
            values = _unpack(body.entries)
            entries = dict(zip(values[::2], values[1::2], strict=True))
            return messages.Summary(tuple(bytes(body.buckets)), entries)
        case "fetch":
            items = {item.member: _unpack(item.held) for item in body.items}
            return messages.Fetch(items, body.second)
        case _:
            return messages.Update()


def decode(data: bytes, now: float) -> messages.Message:
    """Decodes a datagram.

    Args:
        data: The received bytes.
        now: The current time in seconds.

    Raises:
        DatagramError: The datagram is malformed.
    """
    try:
        with packing.read(_SCHEMA.Datagram, data, _TRAVERSAL_WORDS) as message:
            return messages.Message(
                message.sender,
                message.incarnation,
                message.sequence,
                _decode_body(message),
                _decode_members(message.members, now),
                _unpack(message.recent),
                _unpack_claims(message.claims),
                message.revision,
                message.evacuations,
            )
    except _DECODE_ERRORS as error:
        raise DatagramError(
            "The peer sent a malformed datagram; check that all instances run "
            "compatible versions."
        ) from error


def decode_records(data: bytes, now: float) -> list[records.Record]:
    """Decodes the records of a broadcast payload.

    Raises:
        DatagramError: The payload is malformed.
    """
    return _decode_list(_SCHEMA.Records, data, now, lambda _: "")[0]


def decode_page(data: bytes, now: float) -> tuple[list[records.Record], str]:
    """Decodes a page of a full-state transfer.

    Returns:
        The records, and the id to request the next page with; empty on the
        last page.

    Raises:
        DatagramError: The page is malformed.
    """
    return _decode_list(_SCHEMA.StatePage, data, now, lambda page: page.next)


def _decode_list(
    schema, data: bytes, now: float, read_next: Callable[[Any], str]
) -> tuple[list[records.Record], str]:
    try:
        with packing.read(schema, data, _TRAVERSAL_WORDS) as message:
            return _decode_members(message.members, now), read_next(message)
    except _DECODE_ERRORS as error:
        raise DatagramError(
            "The peer sent malformed records; check that all instances run "
            "compatible versions."
        ) from error


def decode_request(data: bytes) -> str:
    """Returns the id after which the requested page starts.

    Raises:
        DatagramError: The request is malformed.
    """
    try:
        with packing.read(
            _SCHEMA.StateRequest, data, _TRAVERSAL_WORDS
        ) as request:
            return request.after
    except _DECODE_ERRORS as error:
        raise DatagramError(
            "The peer sent a malformed state request; check that all "
            "instances run compatible versions."
        ) from error
