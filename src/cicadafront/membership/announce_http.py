"""HTTP interface through which targets announce themselves.

`PUT /v1/targets/<id>` takes `{service, address, slots, load, state}`.
`DELETE /v1/targets/<id>` removes a target. Errors are reported as
problem+json (RFC 9457).
"""

import ipaddress
import json
import re
from collections.abc import Callable

import klein

from cicadafront import errors, model
from cicadafront.membership import announce, records

MAX_BODY_BYTES = 16 * 1024
MAX_SLOTS = 10_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
# Only the agent decides about ejection, so targets cannot announce it.
_STATES = {
    state.value: state
    for state in model.TargetState
    if state is not model.TargetState.EJECTED
}


class AnnouncementError(errors.CicadafrontError):
    """An announcement is invalid.

    Attributes:
        status: HTTP status of the response.
    """

    code = "announcement_invalid"

    def __init__(self, message: str, status: int = 400):
        super().__init__(message)
        self.status = status


def _name(field: str, value: object) -> str:
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise AnnouncementError(
            f"{field}: must be 1 to 64 letters, digits, '.', '_' or '-', "
            "starting with a letter or digit."
        )
    return value


def _address(value: object) -> records.Address:
    try:
        if not isinstance(value, str):
            raise ValueError
        host, _, port = value.rpartition(":")
        if host.startswith("[") and host.endswith("]"):
            ip = str(ipaddress.IPv6Address(host[1:-1]))
        else:
            ip = str(ipaddress.IPv4Address(host))
        if not port.isascii() or not port.isdigit():
            raise ValueError
        if not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise AnnouncementError(
            "address: must be an IP address and a port, such as "
            '"10.0.0.5:8080" or "[fd00::5]:8080".'
        ) from None
    return ip, int(port)


def _slots(value: object) -> int:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 1 <= value <= MAX_SLOTS:  # type: ignore[operator]
        raise AnnouncementError(
            f"slots: must be an integer from 1 to {MAX_SLOTS}."
        )
    return value  # type: ignore[return-value]


def _load(value: object) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # The comparison is also false for NaN.
    if not is_number or not 0 <= value < 1e9:  # type: ignore[operator]
        raise AnnouncementError(
            "load: must be a number of at least 0 and below 1e9."
        )
    return float(value)  # type: ignore[arg-type]


def _state(value: object) -> model.TargetState:
    state = _STATES.get(value) if isinstance(value, str) else None
    if state is None:
        raise AnnouncementError(f"state: must be one of {', '.join(_STATES)}.")
    return state


def parse(id: str, body: bytes) -> announce.LocalTarget:
    """Parses the body of an announcement.

    Unknown fields are ignored.

    Raises:
        AnnouncementError: The body is too large or is not a JSON object, or
            a field is missing or invalid.
    """
    if len(body) > MAX_BODY_BYTES:
        raise AnnouncementError(
            f"The body must not exceed {MAX_BODY_BYTES} bytes.", 413
        )
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise AnnouncementError(
            "The body is not valid JSON; send an object with service, "
            "address, slots, load and state."
        ) from None
    if not isinstance(fields, dict):
        raise AnnouncementError("The body must be a JSON object.")
    return announce.LocalTarget(
        _name("id", id),
        _name("service", fields.get("service")),
        _address(fields.get("address")),
        _slots(fields.get("slots")),
        _load(fields.get("load", 0)),
        _state(fields.get("state", "serving")),
    )


def _problem(request, status: int, code: str, detail: str) -> bytes:
    request.setResponseCode(status)
    request.setHeader("content-type", "application/problem+json")
    problem = {
        "title": "The announcement was refused",
        "status": status,
        "code": code,
        "detail": detail,
    }
    return json.dumps(problem).encode()


class AnnouncementResource:
    """Routes of the announcement interface."""

    app = klein.Klein()

    def __init__(
        self, registry: announce.TargetRegistry, seconds: Callable[[], float]
    ):
        self._registry = registry
        self._seconds = seconds

    @app.route("/v1/targets/<id>", methods=["PUT"])
    def put(self, request, id: str) -> bytes:
        """Registers or updates a target."""
        body = request.content.read(MAX_BODY_BYTES + 1)
        self._registry.announce(self._seconds(), parse(id, body))
        request.setResponseCode(204)
        return b""

    @app.route("/v1/targets/<id>", methods=["DELETE"])
    def delete(self, request, id: str) -> bytes:
        """Removes a target; idempotent."""
        self._registry.remove(self._seconds(), _name("id", id))
        request.setResponseCode(204)
        return b""

    @app.handle_errors(AnnouncementError)
    def _invalid(self, request, failure) -> bytes:
        error = failure.value
        return _problem(request, error.status, error.code, error.message)

    @app.handle_errors(announce.TooManyTargetsError)
    def _registry_full(self, request, failure) -> bytes:
        error = failure.value
        return _problem(request, 409, error.code, error.message)


def resource(registry: announce.TargetRegistry, seconds: Callable[[], float]):
    """Returns the web resource that serves the announcement address.

    Args:
        registry: Registry of the local targets.
        seconds: Returns the current time in seconds on the registry's clock.
    """
    return AnnouncementResource(registry, seconds).app.resource()
