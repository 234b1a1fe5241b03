"""Fleet-wide rate limiting without leases or stored state.

Handles two kinds of load: a client account that sends many times its rate
through all instances, and accounts within their rate whose requests are spread
unevenly over the instances. An instance requests tokens from the coordinator
of an account (`coordinators.py`) and uses them for at most `CREDIT_SECONDS`.
While the primary coordinator does not answer, instances call the standby,
which forwards their calls as long as it reaches the primary itself.

While instances disagree about the coordinator, two buckets exist. A new
coordinator starts with a small fraction of the burst, which keeps the excess
within what operators tolerate. An instance that reaches neither coordinator
falls back to a fraction of an equal share of the rate, without a burst.
"""

import collections
import struct
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, ports
from cicadafront.config import model as config_model
from cicadafront.limits import coordinators, tokens
from cicadafront.telemetry import logs

METHOD = "tokens/2"
# Lifetime of granted tokens; bounds the number of unused tokens that an account
# can accumulate over many instances.
CREDIT_SECONDS = 1.0
# Timeout of a call to a coordinator. A coordinator answers within a few
# milliseconds; one that does not answer must not delay a request by more than
# a small fraction of its latency objective.
CALL_SECONDS = 0.15
# Timeout of a call that the standby forwards to the primary; shorter than
# `CALL_SECONDS`, which is how long the standby's own caller waits.
FORWARD_SECONDS = 0.1
# Time for which a coordinator that did not answer is not called again.
BACKOFF_SECONDS = 1.0
# Fraction of an equal share of the rate that an instance uses while no
# coordinator answers: at the same time the other instances may get the whole
# rate from a coordinator that they reach.
FALLBACK_SHARE = 0.6
# Lower bound of the `Retry-After` of a refused request.
MIN_RETRY_AFTER_SECONDS = 0.1

# Number of wanted tokens, length of the requesting instance's id, and its
# report: requests seen and tokens owed. The ids of the instance and of the
# account follow.
_REQUEST = struct.Struct("!HHff")
_REPLY = struct.Struct("!Hf")

_log = logs.Log("limits")
_NO_COORDINATOR = " (estimated: this instance reaches no rate coordinator)"

AccountLookup = Callable[[str], "config_model.ClientAccount | None"]


@attrs.frozen
class _TokenRequest:
    """Body of a call to a coordinator."""

    wanted: int
    instance: str
    account: str
    report: coordinators.Report

    def encode(self) -> bytes:
        instance = self.instance.encode()
        seen, owed = self.report.seen, self.report.owed
        packed = _REQUEST.pack(self.wanted, len(instance), seen, owed)
        return packed + instance + self.account.encode()

    @classmethod
    def decode(cls, body: bytes) -> "_TokenRequest":
        wanted, length, seen, owed = _REQUEST.unpack_from(body)
        ids = body[_REQUEST.size :]
        return cls(
            wanted,
            ids[:length].decode(),
            ids[length:].decode(),
            coordinators.Report(seen, owed),
        )


@attrs.define
class _Credit:
    left: int = 0
    until: float = 0.0

    def take(self, now: float) -> bool:
        if now >= self.until or self.left < 1:
            return False
        self.left -= 1
        return True


@attrs.define
class _Demand:
    """Requests of one account that wait for the coordinator's answer."""

    waiting: "collections.deque[defer.Deferred[None]]" = attrs.field(
        factory=collections.deque
    )
    in_flight: bool = False
    # Usage to report in the next call.
    seen: float = 0.0
    owed: float = 0.0

    def report(self) -> coordinators.Report:
        """Returns the report for the next call and clears the owed tokens."""
        owed, self.owed = self.owed, 0.0
        return coordinators.Report(self.seen, owed)


class SharedAdmission:
    """Implements `ports.Admission` with rate coordinators.

    Attributes:
        counts: Number of decisions by kind.

    Args:
        own_id: Id of this instance.
        clock: Source of time in seconds, and of timers.
        calls: Calls to other instances.
        directory: Known instances.
        accounts: Finds an account in the configuration in force.
        isolated: Returns whether this instance appears to be partitioned from
            the fleet, or does not know the fleet yet.
        limit_of: Returns the limit of an account.
        size: Returns a lower bound of the number of instances.
        settling: Returns whether this instance has started so recently that
            it may know only part of the fleet.
        usable: Returns whether the path to an instance works.
        configured: Returns whether there is a configuration in force.
    """

    def __init__(
        self,
        own_id: str,
        clock: Any,
        calls: ports.PeerCalls,
        directory: ports.Directory,
        accounts: AccountLookup,
        isolated: Callable[[], bool] = lambda: False,
        limit_of: coordinators.LimitOf = coordinators.configured_limit,
        size: Callable[[], int] = lambda: 1,
        settling: Callable[[], bool] = lambda: False,
        usable: Callable[[str], bool] = lambda instance: True,
        configured: Callable[[], bool] = lambda: True,
    ):
        self.counts: collections.Counter[str] = collections.Counter()
        self._own_id = own_id
        self._clock = clock
        self._calls = calls
        self._directory = directory
        self._accounts = accounts
        self._isolated = isolated
        self._size = size
        self._settling = settling
        self._usable = usable
        self._configured = configured
        self._limit_of = limit_of
        self._coordinator = coordinators.Coordinator(limit_of)
        self._credits: dict[str, _Credit] = {}
        self._demands: dict[str, _Demand] = {}
        self._fallback_buckets: dict[str, tokens.Bucket] = {}
        self._backoff_until: dict[str, float] = {}
        # Time at which an account has tokens again, as of the last answer.
        self._empty_until: dict[str, float] = {}
        self._ranked: dict[str, list[str]] = {}
        directory.on_change(self._ranked.clear)
        calls.register(METHOD, self._serve)

    def admit(
        self, account: config_model.ClientAccount
    ) -> "defer.Deferred[None]":
        """Admits one request, or fails with `RateExceededError`."""
        return self.spend(account)

    def spend(
        self, account: config_model.ClientAccount, seen: float = 0.0
    ) -> "defer.Deferred[None]":
        """Spends one token, or fails with `RateExceededError`.

        Args:
            account: Account with its limits.
            seen: Requests of the account at this instance in the window, for
                limits that depend on them.
        """
        if account.rate <= 0:
            return defer.succeed(None)
        now = self._clock.seconds()
        credit = self._credits.get(account.id)
        if credit is not None and credit.take(now):
            self.counts["credit"] += 1
            return defer.succeed(None)
        demand = self._demands.setdefault(account.id, _Demand())
        demand.seen = seen
        coordinator = self._coordinator_of(now, account.id)
        if coordinator is None or coordinator == self._own_id:
            return self._decide_locally(now, account, demand)
        result: defer.Deferred[None] = defer.Deferred()
        demand.waiting.append(result)
        if not demand.in_flight:
            self._request_tokens(coordinator, account, demand)
        return result

    def charge(
        self,
        account: config_model.ClientAccount,
        amount: float,
        seen: float = 0.0,
    ) -> None:
        """Charges tokens for requests that run without asking first.

        Args:
            account: Account with its limits.
            amount: Number of tokens; fractions accumulate until they make a
                whole token.
            seen: See `spend`.
        """
        demand = self._demands.setdefault(account.id, _Demand())
        demand.seen = seen
        demand.owed += amount
        if demand.owed < 1 or demand.in_flight:
            return
        self.counts["charged"] += 1
        now = self._clock.seconds()
        coordinator = self._coordinator_of(now, account.id)
        if coordinator is None or coordinator == self._own_id:
            self._charge_locally(now, account, demand)
        else:
            self._request_tokens(coordinator, account, demand)

    def path_works(self, instance: str) -> None:
        """Ends the backoff of a coordinator that can be reached again."""
        self._backoff_until.pop(instance, None)

    def seconds_until_tokens(self, account: str) -> float:
        """Returns the seconds until an account has tokens.

        The result is based on the last answer of a coordinator, and is 0 if
        the account has tokens or its state is not known.
        """
        until = self._empty_until.get(account, 0.0)
        return max(0.0, until - self._clock.seconds())

    def _coordinator_of(self, now: float, account: str) -> str | None:
        """Returns the coordinator to call, or None if all are in backoff."""
        if account not in self._ranked:
            self._ranked[account] = coordinators.select(
                account, self._live_instances()
            )
        answering = [
            found
            for found in self._ranked[account]
            if now >= self._backoff_until.get(found, 0.0)
        ]
        for found in answering:
            if found == self._own_id or self._usable(found):
                return found
        return answering[0] if answering else None

    def _request_tokens(
        self,
        coordinator: str,
        account: config_model.ClientAccount,
        demand: _Demand,
    ) -> None:
        demand.in_flight = True
        wanted = 0
        if demand.waiting:
            # One more token than needed saves the next request a round trip.
            wanted = min(coordinators.MAX_GRANT_TOKENS, len(demand.waiting) + 1)
        request = _TokenRequest(
            wanted, self._own_id, account.id, demand.report()
        )
        answered = self._calls.call(
            coordinator, METHOD, request.encode(), CALL_SECONDS
        )
        answered.addCallback(self._answered, account, demand, wanted)
        answered.addErrback(
            self._call_failed, coordinator, account, demand, request.report.owed
        )

    def _answered(
        self,
        answer: bytes,
        account: config_model.ClientAccount,
        demand: _Demand,
        wanted: int,
    ) -> None:
        demand.in_flight = False
        granted, wait = _REPLY.unpack(answer)
        now = self._clock.seconds()
        self._empty_until[account.id] = now + wait
        if not wanted:
            # The call only reported a charge; requests that arrived since
            # then still need tokens.
            self._serve_waiting(account, demand)
            return
        if not granted:
            waiting = list(demand.waiting)
            demand.waiting.clear()
            self.counts["refused"] += len(waiting)
            for result in waiting:
                result.errback(_exceeded(account, wait))
            return
        credit = _Credit(granted, now + CREDIT_SECONDS)
        self._credits[account.id] = credit
        while demand.waiting and credit.take(now):
            self.counts["granted"] += 1
            demand.waiting.popleft().callback(None)
        self._serve_waiting(account, demand)

    def _call_failed(
        self,
        reason: failure.Failure,
        coordinator: str,
        account: config_model.ClientAccount,
        demand: _Demand,
        owed: float,
    ) -> None:
        demand.in_flight = False
        demand.owed += owed
        self._back_off(coordinator, account.id, reason)
        self._serve_waiting(account, demand)

    def _back_off(
        self, coordinator: str, account: str, reason: failure.Failure
    ) -> None:
        self._backoff_until[coordinator] = (
            self._clock.seconds() + BACKOFF_SECONDS
        )
        _log.info(
            "rate coordinator did not answer; trying the next one.",
            keeper=coordinator,
            account=account,
            reason=reason.getErrorMessage(),
        )

    def _serve_waiting(
        self, account: config_model.ClientAccount, demand: _Demand
    ) -> None:
        """Requests tokens for waiting requests, or decides locally."""
        if not demand.waiting:
            return
        coordinator = self._coordinator_of(self._clock.seconds(), account.id)
        if coordinator is None or coordinator == self._own_id:
            self._decide_waiting(account, demand)
        else:
            self._request_tokens(coordinator, account, demand)

    def _decide_waiting(
        self, account: config_model.ClientAccount, demand: _Demand
    ) -> None:
        now = self._clock.seconds()
        waiting = list(demand.waiting)
        demand.waiting.clear()
        for result in waiting:
            self._decide_locally(now, account, demand).chainDeferred(result)

    def _decide_locally(
        self,
        now: float,
        account: config_model.ClientAccount,
        demand: _Demand,
    ) -> "defer.Deferred[None]":
        if (
            self._coordinator_of(now, account.id) != self._own_id
            or self._isolated()
        ):
            return self._spend_fallback(now, account, demand)
        granted, wait = self._grant_locally(now, account, 1, demand)
        self.counts["kept" if granted else "refused"] += 1
        return self._result(account, granted, wait)

    def _charge_locally(
        self, now: float, account: config_model.ClientAccount, demand: _Demand
    ) -> None:
        """Deducts the owed tokens from the local bucket in use."""
        if (
            self._coordinator_of(now, account.id) != self._own_id
            or self._isolated()
        ):
            self._fallback_bucket(now, account, demand)
        else:
            self._grant_locally(now, account, 0, demand)

    def _grant_locally(
        self,
        now: float,
        account: config_model.ClientAccount,
        wanted: int,
        demand: _Demand,
    ) -> tuple[int, float]:
        granted, wait = self._coordinator.grant(
            now,
            account,
            wanted,
            demand.report(),
            self._own_id,
            self._is_standby(account.id),
            self._limit_share(),
        )
        self._empty_until[account.id] = now + wait
        return granted, wait

    def _spend_fallback(
        self, now: float, account: config_model.ClientAccount, demand: _Demand
    ) -> "defer.Deferred[None]":
        """Decides by the fallback share of the rate."""
        bucket = self._fallback_bucket(now, account, demand)
        granted = bucket.take(now, 1)
        self.counts["shared" if granted else "share_refused"] += 1
        return self._result(account, granted, bucket.wait(now), _NO_COORDINATOR)

    def _fallback_bucket(
        self, now: float, account: config_model.ClientAccount, demand: _Demand
    ) -> tokens.Bucket:
        """Returns the fallback bucket after deducting the owed tokens."""
        known = sum(1 for _ in self._directory.instances())
        number = max(1, known, self._size())
        rate = FALLBACK_SHARE * account.rate / number
        bucket = self._fallback_buckets.get(account.id)
        if bucket is None:
            initial = self._limit_of(account, 0.0).initial_isolated
            bucket = tokens.Bucket(rate, 1.0, initial, now)
            self._fallback_buckets[account.id] = bucket
        elif bucket.rate != rate:
            bucket.set_limit(now, rate, 1.0)
        bucket.charge(demand.report().owed, most=1.0)
        return bucket

    def _result(
        self,
        account: config_model.ClientAccount,
        granted: int,
        wait: float,
        note: str = "",
    ) -> "defer.Deferred[None]":
        if granted:
            return defer.succeed(None)
        return defer.fail(_exceeded(account, wait, note))

    def _serve(
        self, caller: str, body: bytes
    ) -> "bytes | defer.Deferred[bytes]":
        request = _TokenRequest.decode(body)
        account = self._accounts(request.account)
        if account is None and not self._configured():
            raise errors.NotReadyError(
                "This instance has no configuration yet; ask the standby "
                "coordinator."
            )
        if account is None or account.rate <= 0:
            # The caller has another revision of the configuration; the limit
            # in its own revision decides.
            return _REPLY.pack(1, 0.0)
        coordinator = self._coordinator_of(self._clock.seconds(), account.id)
        if coordinator in (None, self._own_id, caller):
            return self._grant_to_peer(account, request)
        # Only the caller cannot reach the primary. If the standby granted
        # tokens as well, the account could exceed its limit.
        self.counts["passed_on"] += 1
        forwarded = self._calls.call(coordinator, METHOD, body, FORWARD_SECONDS)
        return forwarded.addErrback(
            self._forward_failed, coordinator, account, request
        )

    def _forward_failed(
        self,
        reason: failure.Failure,
        coordinator: str,
        account: config_model.ClientAccount,
        request: _TokenRequest,
    ) -> bytes:
        self._back_off(coordinator, account.id, reason)
        return self._grant_to_peer(account, request)

    def _grant_to_peer(
        self, account: config_model.ClientAccount, request: _TokenRequest
    ) -> bytes:
        granted, wait = self._coordinator.grant(
            self._clock.seconds(),
            account,
            request.wanted,
            request.report,
            request.instance,
            self._is_standby(account.id),
            self._limit_share(),
        )
        return _REPLY.pack(granted, wait)

    def _limit_share(self) -> float:
        """Returns the fraction of each limit that this instance may grant.

        Parts of a fleet that have not discovered each other yet each have a
        coordinator. Together these grant as much as a single one would.
        """
        if not self._settling():
            return 1.0
        return min(1.0, len(self._live_instances()) / max(1, self._size()))

    def _live_instances(self) -> list[str]:
        """Returns the ids of the instances that may be coordinators."""
        return [
            info.id
            for info in self._directory.instances()
            if info.alive and not info.leaving
        ]

    def _is_standby(self, account: str) -> bool:
        return self._ranked.get(account, [self._own_id])[0] != self._own_id


def _exceeded(
    account: config_model.ClientAccount, wait: float, note: str = ""
) -> errors.RateExceededError:
    return errors.RateExceededError(
        f"Account {account.id} exceeds its rate limit of {account.rate:g} "
        f"requests/s{note}; reduce the request rate.",
        retry_after=max(MIN_RETRY_AFTER_SECONDS, wait),
    )
