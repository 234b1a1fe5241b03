"""Conversion of a target to and from its entry in the store.

A restarted process restores its local target from the entry.
"""

from typing import Any

from cicadafront import fields, model
from cicadafront.membership import heartbeat_registry
from cicadafront.telemetry import logs

_log = logs.Log("membership")


def keep(heartbeat: heartbeat_registry.Heartbeat) -> dict[str, Any]:
    """Returns the target of a heartbeat as JSON values."""
    host, port = heartbeat.address
    return {
        "id": heartbeat.target,
        "service": heartbeat.service,
        "address": [host, port],
        "slots": heartbeat.slots,
        "incarnation": heartbeat.incarnation,
    }


def restore(stored: dict[str, Any]) -> heartbeat_registry.Heartbeat | None:
    """Returns the target as a heartbeat, or None if it is absent or invalid."""
    if not stored:
        return None
    try:
        return heartbeat_registry.Heartbeat(
            target=fields.identifier(stored, "id"),
            service=fields.identifier(stored, "service"),
            address=fields.host_and_port(stored, "address"),
            slots=fields.integer(
                stored, "slots", minimum=1, maximum=heartbeat_registry.MAX_SLOTS
            ),
            state=model.TargetState.SERVING,
            # Lower than the number of any heartbeat of the target.
            number=-1,
            incarnation=fields.integer(stored, "incarnation"),
        )
    except fields.FieldError as error:
        _log.warning(
            "the target stored before the restart is invalid.",
            reason=error.message,
        )
        return None
