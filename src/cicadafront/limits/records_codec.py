"""JSON encoding of idempotency records for calls between instances."""

import base64

import attrs

from cicadafront import model, ports
from cicadafront.limits.records import Record, State


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def outcome_data(outcome: ports.Outcome) -> dict:
    """Encodes an outcome as JSON data."""
    return {
        "status": outcome.head.status,
        "headers": [
            [_text(name), _text(value)] for name, value in outcome.head.headers
        ],
        "body": None if outcome.body is None else _text(outcome.body),
        "body_digest": _text(outcome.body_digest),
    }


def outcome(data: dict) -> ports.Outcome:
    """Decodes an outcome."""
    headers = tuple(
        (base64.b64decode(name), base64.b64decode(value))
        for name, value in data["headers"]
    )
    body = data["body"]
    return ports.Outcome(
        model.ResponseHead(data["status"], headers),
        None if body is None else base64.b64decode(body),
        base64.b64decode(data["body_digest"]),
    )


def record_data(now: float, record: Record) -> dict:
    """Encodes a record as JSON data; times are in seconds relative to `now`."""
    return {
        "ticket": attrs.asdict(record.ticket),
        "digest": record.digest.hex(),
        "attempt": record.attempt,
        "age": now - record.begun_at,
        "uncertain_in": record.uncertain_at - now,
        "state": record.state.value,
        "outcome": outcome_data(record.outcome) if record.outcome else None,
        "size": record.size,
    }


def record(now: float, data: dict) -> Record:
    """Decodes a record; `now` is in seconds of this process's clock."""
    return Record(
        ports.Ticket(**data["ticket"]),
        bytes.fromhex(data["digest"]),
        data["attempt"],
        now - data["age"],
        now + data["uncertain_in"],
        State(data["state"]),
        outcome(data["outcome"]) if data["outcome"] else None,
        data["size"],
    )
