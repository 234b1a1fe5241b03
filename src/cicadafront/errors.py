"""Exceptions shared by all packages.

Every error has a stable code, on which callers, operators and tests match. The
message is meant for people and states how to fix the problem.
"""

import enum


class Executed(enum.Enum):
    """Whether a target ran the request of a failed exchange."""

    NO = "no"
    UNKNOWN = "unknown"


class CicadafrontError(Exception):
    """Base class of all errors raised by this package.

    Attributes:
        code: Stable identifier of the kind of error.
        message: Text for people, which states how to fix the problem.
    """

    code = "internal_error"

    def __init__(self, message: str):
        super().__init__(message)
        self.message = message


class RequestError(CicadafrontError):
    """A request gets an error response instead of a target's response.

    Attributes:
        status: HTTP status of the response to the caller.
        executed: Whether a target ran the request.
        retry_after: Seconds after which the caller may retry, or None.
    """

    code = "request_failed"
    status = 500

    def __init__(
        self,
        message: str,
        *,
        executed: Executed = Executed.NO,
        retry_after: float | None = None,
        code: str | None = None,
        status: int | None = None,
    ):
        super().__init__(message)
        self.executed = executed
        self.retry_after = retry_after
        if code is not None:
            self.code = code
        if status is not None:
            self.status = status


class BadRequestError(RequestError):
    """The caller's request violates HTTP framing or a limit."""

    code = "bad_request"
    status = 400


class RouteNotFoundError(RequestError):
    """No route matches the method and path."""

    code = "route_unknown"
    status = 404


class KeyUnknownError(RequestError):
    """The route requires a key and the request has no valid one."""

    code = "key_unknown"
    status = 401


class RateExceededError(RequestError):
    """The client account has exceeded its rate and burst."""

    code = "rate_exceeded"
    status = 429


class CreditUnavailableError(RequestError):
    """The owner of the account's rate limit does not respond."""

    code = "credit_unavailable"
    status = 503


class NotReadyError(RequestError):
    """The instance has no configuration yet."""

    code = "not_ready"
    status = 503


class ConfigurationUnconfirmedError(RequestError):
    """The instance cannot confirm that its keys are still valid."""

    code = "configuration_unconfirmed"
    status = 503


class NoTargetError(RequestError):
    """No target of the service can accept the request."""

    code = "no_target"
    status = 503


class QueueFullError(RequestError):
    """The queue of the target is full for this client account."""

    code = "queue_full"
    status = 503


class QueueDelayError(RequestError):
    """The queueing delay of the target stays above its limit."""

    code = "queue_delay"
    status = 503


class TargetLeavingError(RequestError):
    """The target accepts no new requests."""

    code = "target_leaving"
    status = 503


class InstanceLeavingError(RequestError):
    """The instance shuts down before the request could complete."""

    code = "instance_leaving"
    status = 503


class TargetBusyError(RequestError):
    """The target has no free slot, and the entry did not allow queueing."""

    code = "target_busy"
    status = 503


class TargetDoubtedError(RequestError):
    """The target may be stalled, so that other targets are preferable."""

    code = "target_doubted"
    status = 503


class TargetColdError(RequestError):
    """The target has just started and sustains only a low rate of requests."""

    code = "target_cold"
    status = 503


class CallBudgetUsedError(RequestError):
    """A retried request would call services whose retry budget is used up."""

    code = "call_budget_used"
    status = 503


class TargetShedError(RequestError):
    """The target shed the request and states that it did not run it."""

    code = "target_shed"
    status = 503


class DeadlineExceededError(RequestError):
    """The request exceeded the time limit of its route."""

    code = "deadline_exceeded"
    status = 504


class TargetFailedError(RequestError):
    """The target's response is truncated, malformed or missing."""

    code = "target_failed"
    status = 502


class LinkLostError(RequestError):
    """The connection to the target's instance was lost."""

    code = "link_lost"
    status = 502


class BodyDiscardedError(RequestError):
    """The body cannot be sent again: a part of it is not buffered any more."""

    code = "body_discarded"
    status = 502


class RequestCrashesTargetsError(RequestError):
    """The same request crashed targets before."""

    code = "request_crashes_targets"
    status = 503


class RecordMismatchError(RequestError):
    """The idempotency key was used before with a different request body."""

    code = "idempotency_key_reused"
    status = 422


class OutcomeUnknownError(RequestError):
    """An earlier request with this idempotency key may have run."""

    code = "outcome_unknown"
    status = 409


class RecordOwnerUnavailableError(RequestError):
    """The owner of the idempotency records cannot be reached."""

    code = "record_owner_unavailable"
    status = 503


class ConfigError(CicadafrontError):
    """A configuration or settings file is invalid.

    Attributes:
        file: Name of the file.
        key: Dotted key inside the file.
    """

    code = "config_invalid"

    def __init__(self, file: str, key: str, message: str):
        super().__init__(f"{file}: {key}: {message}")
        self.file = file
        self.key = key


class StoreUnavailableError(CicadafrontError):
    """The key-value store does not respond; a write may have taken effect."""

    code = "store_unavailable"


class StoreConflictError(CicadafrontError):
    """A compare-and-swap found another version than expected."""

    code = "store_conflict"


class CallFailedError(CicadafrontError):
    """A call to a peer failed or was rejected."""

    code = "call_failed"


class GivenUpError(CicadafrontError):
    """A run of a loop was cancelled before it returned a result."""

    code = "given_up"
