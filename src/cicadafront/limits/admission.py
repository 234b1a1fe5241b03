"""Admission of requests, as holder of credit and as owner of ledgers."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.config import model as config_model
from cicadafront.limits import actions, calls, shards
from cicadafront.limits.grants import RETRY_SECONDS, CreditRequest, Grants
from cicadafront.limits.ledger import Grant, Ledger, Report
from cicadafront.limits.service import OwnershipService
from cicadafront.limits.shard import Kind

CREDIT = "limits.credit"
RECALL = "limits.recall"
TICK_SECONDS = 0.25
# Longest time that an owner without tokens delays its answer, so that a holder
# can tell an owner without tokens from a crashed one.
OWNER_WAIT_SECONDS = 0.4
CALL_SECONDS = 0.5
REPORT_SECONDS = 0.5
RECALL_CALL_SECONDS = 0.3
REFILL_SECONDS = 0.05

AccountLookup = Callable[[str], config_model.ClientAccount | None]


def _reports(data: list) -> tuple[Report, ...]:
    return tuple(
        Report((first, second), used, closed)
        for first, second, used, closed in data
    )


def _report_data(reports: tuple[Report, ...]) -> list:
    return [[*each.id, each.used, each.closed] for each in reports]


class AdmissionService:
    """Implements `ports.Admission` and keeps the ledgers of owned shards.

    Attributes:
        ledgers: Ledgers of the shards that this instance owns, by shard.
        grants: Credit that this instance holds.
    """

    name = "ledger"

    def __init__(
        self,
        ownership: OwnershipService,
        owners: calls.OwnerCalls,
        peers: ports.PeerCalls,
        timer: calls.Timer,
        accounts: AccountLookup,
    ):
        self.ledgers: dict[int, Ledger] = {}
        self.grants = Grants()
        self._ownership = ownership
        self._owners = owners
        self._peers = peers
        self._timer = timer
        self._accounts = accounts
        self._waiting: dict[int, defer.Deferred[None]] = {}
        self._unreachable: set[str] = set()
        self._pending_replies: dict[tuple[int, int], defer.Deferred[bytes]] = {}
        self._refills: set[str] = set()
        ownership.parts.append(self)
        peers.register(CREDIT, self._serve_credit)
        peers.register(RECALL, self._serve_recall)

    def start(self) -> None:
        """Starts the periodic reports and the return of unused credit."""
        self._timer.callLater(TICK_SECONDS, self._tick)

    # Holder.

    def admit(
        self, account: config_model.ClientAccount
    ) -> "defer.Deferred[None]":
        """Admits one request.

        Fails with `RateExceededError`, or with `CreditUnavailableError` if
        the owner did not answer the last call.
        """
        now = self._timer.seconds()
        number = self.grants.admit(now, account.id)
        if number is None:
            result = defer.succeed(None)
        elif number == 0:
            return defer.fail(self._refusal(account.id, 1.0))
        else:
            result = self._waiting[number] = defer.Deferred()
            until = self.grants.last_deadline(account.id)
            self._timer.callLater(
                until - now, self._refuse_timed_out, account.id
            )
        self._send_due_requests(account.id)
        return result

    def _refusal(self, account: str, retry_after: float) -> errors.RequestError:
        if account in self._unreachable:
            return errors.CreditUnavailableError(
                f"the instance that limits the rate of client account "
                f"{account!r} does not answer; retry after the given time",
                retry_after=max(1.0, retry_after),
            )
        return errors.RateExceededError(
            f"client account {account!r} has exceeded its rate and burst; "
            "retry after the given time",
            retry_after=retry_after,
        )

    def _refuse_timed_out(self, account: str) -> None:
        now = self._timer.seconds()
        for number, retry_after in self.grants.timed_out(now, account):
            error = self._refusal(account, retry_after)
            self._waiting.pop(number).errback(error)

    def _send_due_requests(self, account: str) -> None:
        for request in self.grants.due_requests(self._timer.seconds(), account):
            self._request_credit(request)

    @defer.inlineCallbacks
    def _request_credit(self, request: CreditRequest):
        body = attrs.asdict(request)
        body["reports"] = _report_data(request.reports)
        body["holder"] = self._owners.me
        shard = shards.shard_of(request.account)
        timeout = max(request.wait, REPORT_SECONDS)
        try:
            reply, sent = yield self._owners.call(
                shard, CREDIT, body, timeout, CALL_SECONDS
            )
        except errors.CallFailedError:
            if not request.report_only:
                self._unreachable.add(request.account)
                self.grants.failed(self._timer.seconds(), request.account)
                self._send_later(request.account)
            return
        if request.report_only:
            return
        self._unreachable.discard(request.account)
        first, second, amount, lifetime, report_immediately, retry_after = (
            reply["grant"]
        )
        grant = Grant(
            (first, second), amount, lifetime, report_immediately, retry_after
        )
        now = self._timer.seconds()
        for number in self.grants.granted(now, sent, request.account, grant):
            self._waiting.pop(number).callback(None)
        self._refuse_timed_out(request.account)
        self._send_due_requests(request.account)
        if not amount:
            self._send_later(request.account)

    def _send_later(self, account: str) -> None:
        self._timer.callLater(RETRY_SECONDS, self._send_due_requests, account)

    def _serve_recall(self, _caller: str, body: bytes) -> bytes:
        account = calls.unpack(body)
        now = self._timer.seconds()
        return calls.pack(_report_data(self.grants.recall(now, account)))

    def _tick(self) -> None:
        self._timer.callLater(TICK_SECONDS, self._tick)
        for account in self.grants.accounts(self._timer.seconds()):
            self._refuse_timed_out(account)
            self._send_due_requests(account)

    # Owner.

    def acquired(self, event: actions.Acquired, state: Any) -> None:
        """Opens the ledger of a shard that this instance has acquired.

        Args:
            event: The acquired claim.
            state: Result of `export` from the former owner, or None.
        """
        now, epoch = self._timer.seconds(), event.claim.epoch
        if event.kind is Kind.FENCE and event.shard in self.ledgers:
            self.ledgers[event.shard].epoch = epoch
        elif state is not None:
            self.ledgers[event.shard] = Ledger.restore(now, epoch, state)
        else:
            self.ledgers[event.shard] = Ledger(
                epoch, event.issue_from, event.kind is Kind.FRESH
            )

    def lost(self, shard: int) -> None:
        """Closes the ledger of a shard that this instance no longer owns."""
        self._redirect_waiting(shard)
        self.ledgers.pop(shard, None)

    def export(self, shard: int) -> Any:
        """Returns the state of a shard's ledger for a handover."""
        self._redirect_waiting(shard)
        return self.ledgers[shard].export(self._timer.seconds())

    def last_used(self) -> dict[int, float]:
        """Returns the time of the last use of each shard's ledger."""
        return {
            shard: ledger.last_used
            for shard, ledger in self.ledgers.items()
            if ledger.buckets
        }

    def _redirect_waiting(self, shard: int) -> None:
        ledger = self.ledgers.get(shard)
        if ledger is None:
            return
        reply = self._ownership.redirect(shard)
        for number in ledger.drop_waiting():
            self._pending_replies.pop((shard, number)).callback(reply)

    def _serve_credit(self, _caller: str, body: bytes):
        data = calls.unpack(body)
        shard = shards.shard_of(data["account"])
        account = self._accounts(data["account"])
        ledger = self.ledgers.get(shard)
        if ledger is None or self._ownership.acts(shard) is None:
            return self._ownership.redirect(shard)
        if account is None:
            return calls.pack({"owner": None})
        now = self._timer.seconds()
        reports = _reports(data["reports"])
        if not data["need"] and not data["want"]:
            ledger.report(now, account, reports)
            self._answer_requests(shard, account.id)
            return b"{}"
        number = ledger.add_request(
            now,
            account,
            data["holder"],
            data["need"],
            data["want"],
            min(data["wait"], OWNER_WAIT_SECONDS),
            reports,
        )
        result: defer.Deferred[bytes] = defer.Deferred()
        self._pending_replies[shard, number] = result
        self._answer_requests(shard, account.id)
        return result

    def _answer_requests(self, shard: int, id: str) -> None:
        ledger, account = self.ledgers.get(shard), self._accounts(id)
        if ledger is None or account is None:
            return
        if self._ownership.acts(shard) is None:
            self._redirect_waiting(shard)
            return
        now = self._timer.seconds()
        authority_end = self._ownership.core.authority_end(shard)
        for number, grant in ledger.answer(now, account, authority_end):
            data = [*grant.id, *attrs.astuple(grant)[1:]]
            reply = calls.pack({"grant": data})
            self._pending_replies.pop((shard, number)).callback(reply)
        for holder in ledger.recall(now, id):
            self._recall(shard, id, holder)
        if ledger.has_waiting(id) and id not in self._refills:
            self._refills.add(id)
            self._timer.callLater(REFILL_SECONDS, self._refill, shard, id)

    def _refill(self, shard: int, account: str) -> None:
        self._refills.discard(account)
        self._answer_requests(shard, account)

    @defer.inlineCallbacks
    def _recall(self, shard: int, id: str, holder: str):
        try:
            answer = yield calls.bounded(
                self._peers.call(
                    holder, RECALL, calls.pack(id), RECALL_CALL_SECONDS
                ),
                self._timer,
                RECALL_CALL_SECONDS,
            )
        except (errors.CicadafrontError, defer.TimeoutError):
            return
        account, ledger = self._accounts(id), self.ledgers.get(shard)
        if account is None or ledger is None:
            return
        reports = _reports(calls.unpack(answer))
        ledger.report(self._timer.seconds(), account, reports)
        self._answer_requests(shard, id)
