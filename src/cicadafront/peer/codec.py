"""Encodes and decodes the frames of a link."""

import itertools
import pathlib

import attrs
import capnp

from cicadafront import errors, model
from cicadafront.peer import exchange

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))


class FrameError(errors.CicadafrontError):
    """A frame cannot be encoded or decoded."""

    code = "frame_invalid"


@attrs.frozen
class Hello:
    """First frame that each side of a link sends."""

    instance: str
    incarnation: int
    version: int


@attrs.frozen
class Open:
    """Opens a stream."""

    id: int
    request: exchange.OpenRequest


@attrs.frozen
class Head:
    """Head of a response."""

    id: int
    head: model.ResponseHead
    load: exchange.Load


@attrs.frozen
class Data:
    """Chunk of a body."""

    id: int
    data: bytes


@attrs.frozen
class End:
    """End of a body."""

    id: int


@attrs.frozen
class Reset:
    """Ends a stream with an error."""

    id: int
    error: errors.RequestError
    load: exchange.Load


@attrs.frozen
class Window:
    """Reports that the receiver has consumed `count` body bytes."""

    id: int
    count: int


@attrs.frozen
class Granted:
    """The request of a stream has a slot and waits for `Go`."""

    id: int


@attrs.frozen
class Go:
    """Lets the request of a stream run."""

    id: int


@attrs.frozen
class Ping:
    """Heartbeat request."""

    token: int


@attrs.frozen
class Pong:
    """Reply to a `Ping`, with its token."""

    token: int


@attrs.frozen
class Call:
    """Calls a method of the peer."""

    id: int
    method: str
    body: bytes


@attrs.frozen
class Reply:
    """Reply to a call; the code is empty on success."""

    id: int
    code: str
    body: bytes


Frame = (
    Hello
    | Open
    | Head
    | Data
    | End
    | Reset
    | Window
    | Granted
    | Go
    | Ping
    | Pong
    | Call
    | Reply
)


def _pack_headers(headers: model.Headers) -> bytes:
    # A single field takes a tenth of the time of a list with one struct per
    # header.
    packed = b"\0".join(itertools.chain.from_iterable(headers))
    if headers and packed.count(b"\0") != 2 * len(headers) - 1:
        raise FrameError("A header contains a NUL byte; remove it.")
    return packed


def _unpack_headers(packed: bytes) -> model.Headers:
    if not packed:
        return ()
    parts = packed.split(b"\0")
    if len(parts) % 2:
        raise ValueError("header without a value")
    return tuple(zip(parts[::2], parts[1::2], strict=True))


def _encode_open(frame: Open) -> bytes:
    # Setting the fields takes half the time of passing a nested dictionary.
    request = frame.request
    message = _SCHEMA.Frame.new_message()
    message.id = frame.id
    body = message.init("open")
    body.method = request.head.method
    body.path = request.head.path
    body.headers = _pack_headers(request.head.headers)
    body.account = request.account
    body.service = request.service
    body.target = request.target
    body.timeoutMs = max(0, int(request.timeout * 1000))
    body.repeatable = request.repeatable
    body.traceparent = request.traceparent
    body.attempt = request.attempt
    body.arrivals = request.arrivals
    body.weight = request.weight
    body.fingerprint = request.fingerprint
    body.relayTo = request.relay_to
    body.insist = request.insist
    body.priority = request.priority
    body.objectiveMs = int(request.objective * 1000)
    body.confirm = request.confirm
    return message.to_bytes()


def _encode_head(frame: Head) -> bytes:
    message = _SCHEMA.Frame.new_message()
    message.id = frame.id
    body = message.init("head")
    body.status = frame.head.status
    body.headers = _pack_headers(frame.head.headers)
    body.slotsInUse = frame.load.slots_in_use
    body.queued = frame.load.queued
    body.serviceMs = frame.load.service_ms
    body.failedPercent = frame.load.failed_percent
    body.ending = frame.load.ending
    return message.to_bytes()


def _reset_fields(frame: Reset) -> dict[str, object]:
    error = frame.error
    return {
        "code": error.code,
        "executed": error.executed is errors.Executed.UNKNOWN,
        "message": error.message,
        "status": error.status,
        "retryAfterMs": int((error.retry_after or 0) * 1000),
        "slotsInUse": frame.load.slots_in_use,
        "queued": frame.load.queued,
        "serviceMs": frame.load.service_ms,
        "failedPercent": frame.load.failed_percent,
    }


def _frame_fields(
    frame: Data
    | End
    | Reset
    | Window
    | Granted
    | Go
    | Hello
    | Ping
    | Pong
    | Call
    | Reply,
) -> dict[str, object]:
    match frame:
        case Data(id, data):
            return {"id": id, "data": data}
        case End(id):
            return {"id": id, "end": None}
        case Reset(id):
            return {"id": id, "reset": _reset_fields(frame)}
        case Window(id, count):
            return {"id": id, "window": count}
        case Granted(id):
            return {"id": id, "granted": None}
        case Go(id):
            return {"id": id, "go": None}
        case _:
            return _link_fields(frame)


def _link_fields(
    frame: Hello | Ping | Pong | Call | Reply,
) -> dict[str, object]:
    match frame:
        case Hello(instance, incarnation, version):
            hello = {
                "instance": instance,
                "incarnation": incarnation,
                "version": version,
            }
            return {"hello": hello}
        case Ping(token):
            return {"ping": token}
        case Pong(token):
            return {"pong": token}
        case Call(id, method, body):
            return {"id": id, "call": {"method": method, "body": body}}
        case Reply(id, code, body):
            return {"id": id, "reply": {"code": code, "body": body}}


def encode(frame: Frame) -> bytes:
    """Returns the bytes of a frame without its length prefix.

    Raises:
        FrameError: A header contains a NUL byte.
    """
    match frame:
        case Open():
            return _encode_open(frame)
        case Head():
            return _encode_head(frame)
        case _:
            return _SCHEMA.Frame.new_message(**_frame_fields(frame)).to_bytes()


def _decode_open(message) -> exchange.OpenRequest:
    head = model.RequestHead(
        message.method, message.path, _unpack_headers(message.headers)
    )
    return exchange.OpenRequest(
        head=head,
        account=message.account,
        service=message.service,
        target=message.target,
        timeout=message.timeoutMs / 1000,
        repeatable=message.repeatable,
        traceparent=message.traceparent,
        attempt=message.attempt,
        arrivals=message.arrivals,
        weight=message.weight,
        fingerprint=bytes(message.fingerprint),
        relay_to=message.relayTo,
        insist=message.insist,
        priority=message.priority,
        objective=message.objectiveMs / 1000,
        confirm=message.confirm,
    )


def _decode_reset(message) -> errors.RequestError:
    executed = errors.Executed.NO
    if message.executed:
        executed = errors.Executed.UNKNOWN
    return errors.RequestError(
        message.message,
        executed=executed,
        retry_after=message.retryAfterMs / 1000 or None,
        code=message.code,
        status=message.status,
    )


def _decode_load(message, ending: bool = False) -> exchange.Load:
    return exchange.Load(
        message.slotsInUse,
        message.queued,
        message.serviceMs,
        message.failedPercent,
        ending,
    )


def _decode_frame(message) -> Frame:
    kind = str(message.which())
    body = getattr(message, kind)
    match kind:
        case "open":
            return Open(message.id, _decode_open(body))
        case "head":
            head = model.ResponseHead(
                body.status, _unpack_headers(body.headers)
            )
            return Head(message.id, head, _decode_load(body, body.ending))
        case "data":
            return Data(message.id, bytes(body))
        case "end":
            return End(message.id)
        case "reset":
            return Reset(message.id, _decode_reset(body), _decode_load(body))
        case "window":
            return Window(message.id, body)
        case "granted":
            return Granted(message.id)
        case "go":
            return Go(message.id)
        case _:
            return _decode_link_frame(kind, message.id, body)


def _decode_link_frame(kind: str, id: int, body) -> Frame:
    match kind:
        case "hello":
            return Hello(body.instance, body.incarnation, body.version)
        case "ping":
            return Ping(body)
        case "pong":
            return Pong(body)
        case "call":
            return Call(id, body.method, bytes(body.body))
        case _:
            return Reply(id, body.code, bytes(body.body))


def decode(data: bytes) -> Frame:
    """Returns the frame encoded in `data`.

    Raises:
        FrameError: The bytes are not a valid frame.
    """
    try:
        with _SCHEMA.Frame.from_bytes(data) as message:
            return _decode_frame(message)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise FrameError(
            "The peer sent an invalid frame; check that all instances run "
            "compatible versions."
        ) from error
