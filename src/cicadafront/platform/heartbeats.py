"""Decoding of the heartbeats and deregistrations of targets."""

from cicadafront import errors, fields, model
from cicadafront.membership import heartbeat_registry
from cicadafront.telemetry import logs

_STATES = {
    "ready": model.TargetState.SERVING,
    "draining": model.TargetState.LEAVING,
}
# Response body for heartbeats and deregistrations.
ACCEPTED = b"{}"

_log = logs.Log("platform")


class HeartbeatError(errors.CicadafrontError):
    """A heartbeat does not describe a usable target."""

    code = "heartbeat_invalid"


def decode(target: str, body: bytes) -> heartbeat_registry.Heartbeat:
    """Decodes a heartbeat.

    Args:
        target: Id of the target, from the request path.
        body: Request body.

    Raises:
        HeartbeatError: A field is missing, has the wrong type, is out of
            range, or cannot be passed on to other processes.
    """
    try:
        message = fields.parse(body)
        info = fields.item(message, "info")
        status = fields.item(message, "status")
        return heartbeat_registry.Heartbeat(
            target=fields.check_identifier(target, "id"),
            service=fields.identifier(info, "service"),
            address=fields.address(message, "address"),
            slots=fields.integer(
                info, "slots", minimum=1, maximum=heartbeat_registry.MAX_SLOTS
            ),
            state=_state(status),
            # Increases with each heartbeat of an incarnation.
            number=fields.integer(status, "sequence"),
            # Start time of the target in Unix milliseconds. Targets that
            # implement the first version of the protocol do not send it.
            incarnation=fields.integer(message, "born", default=0),
            warm_up_seconds=_cold_remaining(status),
        )
    except fields.FieldError as error:
        raise HeartbeatError(
            f"The heartbeat of target {target[:100]!r} is invalid: "
            f"{error.message}"
        ) from error


def incarnation(body: bytes) -> int:
    """Returns the incarnation in a deregistration, or 0 if it has none."""
    if not body:
        return 0
    try:
        return fields.integer(fields.parse(body), "born")
    except fields.FieldError as error:
        # The field is optional here: the id alone identifies the target.
        _log.debug(
            "a deregistration contains no valid start time.",
            reason=error.message,
        )
        return 0


def _cold_remaining(status: fields.Item) -> float | None:
    """Returns the seconds until the target is warm, or None if unknown."""
    if status.get("cold_remaining_s") is None:
        return None
    try:
        return fields.number(status, "cold_remaining_s")
    except fields.FieldError as error:
        # The rest of the heartbeat is usable; the target is limited longer.
        _log.debug(
            "a heartbeat contains no valid cold time.", reason=error.message
        )
        return None


def _state(status: fields.Item) -> model.TargetState:
    state = fields.string(status, "state")
    if state not in _STATES:
        raise fields.FieldError(
            f"The state is unknown; send one of {', '.join(_STATES)}."
        )
    return _STATES[state]
