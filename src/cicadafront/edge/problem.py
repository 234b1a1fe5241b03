"""Error responses as problem details (RFC 9457)."""

import http
import json
import math

from cicadafront import errors, model

# Statuses whose responses always carry `Retry-After`, and its default value.
_RETRYABLE_STATUSES = frozenset({429, 503})
_RETRY_AFTER_SECONDS = 1


def _title(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Error"


def _retry_after(seconds: float, short: bool) -> bytes:
    if short:
        return b"%.3f" % seconds
    return b"%d" % max(1, math.ceil(seconds))


def response(
    error: errors.RequestError, fractional_waits: bool = False
) -> tuple[model.ResponseHead, bytes]:
    """Returns head and body of the response to a failed request.

    Args:
        error: The error.
        fractional_waits: Whether `Retry-After` may have fractions of a second.
    """
    fields = {
        "title": _title(error.status),
        "status": error.status,
        "detail": error.message,
        "code": error.code,
        "executed": error.executed.value,
    }
    body = json.dumps(fields).encode()
    headers = [
        (b"Content-Type", b"application/problem+json"),
        (b"Content-Length", b"%d" % len(body)),
    ]
    if error.status in _RETRYABLE_STATUSES or error.retry_after is not None:
        seconds = error.retry_after or _RETRY_AFTER_SECONDS
        headers.append(
            (b"Retry-After", _retry_after(seconds, fractional_waits))
        )
    if error.status == http.HTTPStatus.UNAUTHORIZED:
        headers.append((b"WWW-Authenticate", b"Bearer"))
    return model.ResponseHead(error.status, tuple(headers)), body
