"""What the store keeps of a target for a process that is started again."""

from typing import Any

from cicadafront import fields, model
from cicadafront.membership import beats
from cicadafront.telemetry import logs

_log = logs.Log("membership")


def keep(heartbeat: beats.Heartbeat) -> dict[str, Any]:
    """Returns a target as JSON values."""
    host, port = heartbeat.address
    return {
        "id": heartbeat.target,
        "service": heartbeat.service,
        "address": [host, port],
        "slots": heartbeat.slots,
        "incarnation": heartbeat.incarnation,
    }


def restore(stored: dict[str, Any]) -> beats.Heartbeat | None:
    """Returns the target in `stored`, or None if there is none to use."""
    if not stored:
        return None
    try:
        return beats.Heartbeat(
            target=fields.text(stored, "id"),
            service=fields.text(stored, "service"),
            address=fields.pair(stored, "address"),
            slots=fields.whole(stored, "slots", least=1, most=beats.MAX_SLOTS),
            state=model.TargetState.SERVING,
            # Every heartbeat of the target is newer.
            number=-1,
            incarnation=fields.whole(stored, "incarnation"),
        )
    except fields.FieldError as error:
        _log.warning("a remembered target is not valid.", reason=error.message)
        return None
