"""Heartbeats of targets."""

import json
from typing import Any

from cicadafront import errors, model
from cicadafront.membership import beats

_STATES = {
    "ready": model.TargetState.SERVING,
    "draining": model.TargetState.LEAVING,
}
_MOST_SLOTS = 10_000
# Answer to heartbeats and goodbyes.
ACCEPTED = b"{}"


class HeartbeatError(errors.CicadafrontError):
    """A heartbeat that names no target to use."""

    code = "heartbeat_invalid"


def decode(target: str, body: bytes) -> beats.Heartbeat:
    """Returns a heartbeat.

    Args:
        target: Id of the target, from the path of the call.
        body: Body of the call.

    Raises:
        HeartbeatError: Fields are missing, of another type or out of range.
    """
    try:
        message = json.loads(body)
        info, status = message["info"], message["status"]
        return beats.Heartbeat(
            target=target,
            service=_text(info["service"]),
            address=_address(message["address"]),
            slots=_slots(info["slots"]),
            state=_state(status["state"]),
            # Grows with each heartbeat of one incarnation.
            number=_whole(status["sequence"]),
            # Unix milliseconds at which the target started; absent from
            # targets of the first form.
            incarnation=_whole(message.get("born", 0)),
        )
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise HeartbeatError(
            f"The heartbeat of target {target[:100]} is not valid: {error!r}."
        ) from error


def incarnation(body: bytes) -> int:
    """Returns the incarnation in a goodbye, or 0 if it states none."""
    try:
        return _whole(json.loads(body)["born"]) if body else 0
    except (ValueError, TypeError, KeyError):
        # The field is optional here; the id alone names the target.
        return 0


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("a name is no string")
    return value


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("a number is not whole")
    return value


def _slots(value: Any) -> int:
    slots = _whole(value)
    if not 1 <= slots <= _MOST_SLOTS:
        raise ValueError(f"{slots} slots are out of range")
    return slots


def _state(value: Any) -> model.TargetState:
    if not isinstance(value, str) or value not in _STATES:
        raise ValueError("the state is not known")
    return _STATES[value]


def _address(value: Any) -> tuple[str, int]:
    host, colon, port = _text(value).rpartition(":")
    if not colon or not host:
        raise ValueError("the address has no port")
    return host, int(port)
