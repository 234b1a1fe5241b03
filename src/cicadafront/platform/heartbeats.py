"""Heartbeats of targets."""

from cicadafront import errors, fields, model
from cicadafront.membership import beats
from cicadafront.telemetry import logs

_STATES = {
    "ready": model.TargetState.SERVING,
    "draining": model.TargetState.LEAVING,
}
# Answer to heartbeats and goodbyes.
ACCEPTED = b"{}"

_log = logs.Log("platform")


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
        message = fields.parse(body)
        info = fields.item(message, "info")
        status = fields.item(message, "status")
        return beats.Heartbeat(
            target=target,
            service=fields.string(info, "service"),
            address=fields.address(message, "address"),
            slots=fields.integer(
                info, "slots", minimum=1, maximum=beats.MAX_SLOTS
            ),
            state=_state(status),
            # Grows with each heartbeat of one incarnation.
            number=fields.integer(status, "sequence"),
            # Unix milliseconds at which the target started; absent from
            # targets of the first form.
            incarnation=fields.integer(message, "born", default=0),
        )
    except fields.FieldError as error:
        raise HeartbeatError(
            f"The heartbeat of target {target[:100]!r} is not valid: "
            f"{error.message}"
        ) from error


def incarnation(body: bytes) -> int:
    """Returns the incarnation in a goodbye, or 0 if it states none."""
    if not body:
        return 0
    try:
        return fields.integer(fields.parse(body), "born")
    except fields.FieldError as error:
        # The field is optional here; the id alone names the target.
        _log.debug("a goodbye states no start.", reason=error.message)
        return 0


def _state(status: fields.Item) -> model.TargetState:
    state = fields.string(status, "state")
    if state not in _STATES:
        raise fields.FieldError(
            f"The state is not known; send one of {', '.join(_STATES)}."
        )
    return _STATES[state]
