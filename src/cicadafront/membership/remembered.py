"""What the store keeps of a target for a process that is started again."""

from typing import Any

from cicadafront import fields, model
from cicadafront.membership import beats
from cicadafront.telemetry import logs

_log = logs.Log("membership")


def keep(beat: beats.Heartbeat) -> dict[str, Any]:
    """Returns a target as JSON values."""
    host, port = beat.address
    return {
        "id": beat.target,
        "service": beat.service,
        "address": [host, port],
        "slots": beat.slots,
        "incarnation": beat.incarnation,
    }


def recall(kept: dict[str, Any]) -> beats.Heartbeat | None:
    """Returns the target in `kept`, or None if there is none to use."""
    if not kept:
        return None
    try:
        return beats.Heartbeat(
            target=fields.string(kept, "id"),
            service=fields.string(kept, "service"),
            address=fields.host_and_port(kept, "address"),
            slots=fields.integer(
                kept, "slots", minimum=1, maximum=beats.MAX_SLOTS
            ),
            state=model.TargetState.SERVING,
            # Every heartbeat of the target is newer.
            number=-1,
            incarnation=fields.integer(kept, "incarnation"),
        )
    except fields.FieldError as error:
        _log.warning("a remembered target is not valid.", reason=error.message)
        return None
