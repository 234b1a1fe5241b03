"""Client side of the fleet's idempotency records."""

import itertools

import attrs
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.limits import calls, records_codec, shards

BEGIN = "records.begin"
CLOSE = "records.close"
# Longest time that an owner delays the answer to a begin that has to wait.
BEGIN_WAIT_SECONDS = 1.0
BEGIN_ATTEMPT_SECONDS = 2.0
# A begin fails when no owner has answered for this long.
OWNER_TIMEOUT_SECONDS = 5.0
# The end of a request is sent again until an owner accepts it or this time has
# passed.
CLOSE_SECONDS = 60.0


class OutcomeService:
    """Implements `ports.OutcomeRecords`."""

    def __init__(
        self,
        incarnation: int,
        owners: calls.OwnerCalls,
        timer: calls.Timer,
    ):
        self._owners = owners
        self._timer = timer
        self._attempts = itertools.count(1)
        self._prefix = f"{owners.me}/{incarnation}/"
        self._digests: dict[ports.Ticket, bytes] = {}

    @defer.inlineCallbacks
    def begin(self, account: str, key: str, digest: bytes, timeout: float):
        """Requests a ticket to run; waits while the same request is running.

        The same attempt is sent again until an owner answers, so that a lost
        answer neither issues a second ticket nor loses the first one.

        Args:
            account: Account id.
            key: Idempotency key.
            digest: Digest of the request.
            timeout: Time left for the request in seconds.

        Returns:
            `ports.Start` with a ticket, or `ports.Replay` with the outcome.

        Raises:
            RecordMismatchError: The key belongs to a different request.
            OutcomeUnknownError: An earlier request may have run.
            RecordOwnerUnavailableError: No owner answered, or the account has
                too many records.
        """
        shard = shards.shard_of(account)
        attempt = f"{self._prefix}{next(self._attempts)}"
        end = self._timer.seconds() + timeout
        while True:
            left = end - self._timer.seconds()
            body = {
                "account": account,
                "key": key,
                "digest": digest.hex(),
                "attempt": attempt,
                "timeout": left,
            }
            try:
                if left <= 0:
                    raise errors.CallFailedError("request deadline exceeded")
                reply, _ = yield self._owners.call(
                    shard,
                    BEGIN,
                    body,
                    min(OWNER_TIMEOUT_SECONDS, left),
                    BEGIN_ATTEMPT_SECONDS,
                )
            except errors.CallFailedError as error:
                self._withdraw(shard, account, key, attempt)
                raise errors.RecordOwnerUnavailableError(
                    "the owner of the idempotency records does not answer; "
                    "retry with the same key",
                    executed=errors.Executed.UNKNOWN,
                    retry_after=5.0,
                ) from error
            answer = self._answer(reply, account, digest)
            if answer is not None:
                return answer

    def finish(self, ticket: ports.Ticket, outcome: ports.Outcome) -> None:
        """Records the outcome."""
        data = records_codec.outcome_data(outcome)
        self._close(ticket, "finish", data)

    def release(self, ticket: ports.Ticket) -> None:
        """Removes the record of a request that did not run."""
        self._close(ticket, "release", None)

    def abandon(self, ticket: ports.Ticket) -> None:
        """Marks the outcome as unknown."""
        self._close(ticket, "abandon", None)

    def _answer(
        self, reply: dict, account: str, digest: bytes
    ) -> ports.Start | ports.Replay | None:
        match reply["kind"]:
            case "start":
                ticket = ports.Ticket(**reply["ticket"])
                self._digests[ticket] = digest
                return ports.Start(ticket)
            case "replay":
                outcome = records_codec.outcome(reply["outcome"])
                return ports.Replay(outcome)
            case "running":
                return None
            case kind:
                raise refusal(kind, account)

    def _withdraw(
        self, shard: int, account: str, key: str, attempt: str
    ) -> None:
        body = {
            "how": "withdraw",
            "account": account,
            "key": key,
            "attempt": attempt,
        }
        self._send_close(shard, body)

    def _close(
        self, ticket: ports.Ticket, how: str, outcome: dict | None
    ) -> None:
        digest = self._digests.pop(ticket, b"")
        body = {
            "how": how,
            "account": ticket.account,
            "ticket": attrs.asdict(ticket),
            "digest": digest.hex(),
            "outcome": outcome,
        }
        self._send_close(ticket.shard, body)

    def _send_close(self, shard: int, body: dict) -> None:
        sent = self._owners.call(shard, CLOSE, body, CLOSE_SECONDS)
        # If no owner answers, the record becomes uncertain after a timeout.
        sent.addErrback(calls.ignore)


def refusal(kind: str, account: str) -> errors.RequestError:
    """Returns the error for a refused begin.

    Args:
        kind: Kind of the owner's reply.
        account: Account id.
    """
    match kind:
        case "mismatch":
            return errors.RecordMismatchError(
                "the idempotency key was used with a different request; "
                "use a new key for a new request"
            )
        case "full":
            return errors.RecordOwnerUnavailableError(
                f"client account {account!r} has too many idempotency "
                "records; retry later with the same key",
                code="records_full",
                retry_after=60.0,
            )
        case _:
            return errors.OutcomeUnknownError(
                "an earlier request with this idempotency key may have run; "
                "check its effect before using a new key",
                executed=errors.Executed.UNKNOWN,
            )
