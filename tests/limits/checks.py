"""Checks of the guarantees of `limits` on the history of a virtual fleet."""

import gc

import attrs
from twisted import logger

from cicadafront import errors, model, ports
from cicadafront.emulator import fleet as fleets
from cicadafront.limits import shards

# Maximum relative drift of a clock, in either direction.
DRIFT = 0.01


class ViolationError(AssertionError):
    """Raised if a guarantee is violated."""


class LogCheck:
    """Checks that no Deferred drops an unhandled error."""

    def __init__(self):
        self._failures: list[str] = []
        logger.globalLogPublisher.addObserver(self._observe)

    def _observe(self, event) -> None:
        if event.get("log_level") is logger.LogLevel.critical:
            self._failures.append(logger.formatEvent(event))

    def close(self) -> None:
        """Stops observing the log.

        Raises:
            ViolationError: A critical event was logged.
        """
        gc.collect()
        logger.globalLogPublisher.removeObserver(self._observe)
        if self._failures:
            raise ViolationError(self._failures[0])


class OwnerCheck:
    """Checks that at most one process at a time acts as owner of a shard."""

    def __init__(self, fleet: fleets.Fleet):
        self._fleet = fleet

    def __call__(self) -> None:
        for shard in range(shards.SHARDS):
            acting = self._fleet.acting(shard)
            if len(acting) > 1:
                at = self._fleet.world.clock.seconds()
                raise ViolationError(
                    f"{acting} all act as owner of shard {shard} at {at:.3f} s"
                )


class RateCheck:
    """Checks that admissions fit a token bucket in every time window."""

    def __init__(self, rate: float, burst: float):
        # An owner with a fast clock refills the bucket faster by the drift.
        self._rate = rate * (1 + DRIFT) / (1 - DRIFT)
        self._burst = burst
        self._level = burst
        self._at = 0.0

    def admitted(self, now: float) -> None:
        """Counts one admission at a time in seconds."""
        gained = (now - self._at) * self._rate
        self._level = min(self._burst, self._level + gained) - 1
        self._at = now
        if self._level < -1e-6:
            raise ViolationError(
                f"{-self._level:.3f} tokens over the limit at {now:.3f} s"
            )


@attrs.define
class Run:
    """A request with an idempotency key that an entry may execute."""

    node: fleets.Node
    ticket: ports.Ticket


class StartCheck:
    """Checks that no key starts twice and that "not executed" is true."""

    def __init__(self):
        self.started: dict[tuple[str, str], ports.Ticket] = {}

    def start(self, ticket: ports.Ticket) -> None:
        """Records a ticket that reached an entry."""
        key = (ticket.account, ticket.key)
        if key in self.started:
            raise ViolationError(
                f"{key} started under {ticket} and an earlier ticket"
            )
        self.started[key] = ticket

    def released(self, ticket: ports.Ticket) -> None:
        """Records that the entry did not execute the request."""
        del self.started[ticket.account, ticket.key]

    def refused(self, account: str, key: str, error: Exception) -> None:
        """Checks the error of a begin request."""
        if isinstance(error, errors.RecordMismatchError):
            return
        assert isinstance(error, errors.RequestError), error
        not_executed = error.executed is errors.Executed.NO
        if not_executed and (account, key) in self.started:
            raise ViolationError(
                f"{key} has started, but {error.code} says not executed"
            )


class Watched:
    """A fleet whose history is checked after every event.

    Attributes:
        fleet: The fleet.
        runs: Requests that hold a ticket.
        admitted: Admission times in seconds by account.
        refused: Refusal times in seconds by account.
        replays: Number of replayed outcomes.
        errors: Key and error code of each refused begin request.
    """

    def __init__(self, fleet: fleets.Fleet):
        self.fleet = fleet
        self.runs: list[Run] = []
        self.admitted: dict[str, list[float]] = {}
        self.refused: dict[str, list[float]] = {}
        self.replays = 0
        self.errors: list[tuple[str, str]] = []
        self._owners = OwnerCheck(fleet)
        self._rates = {
            account.id: RateCheck(account.rate, account.burst)
            for account in fleet.accounts.values()
        }
        self._starts = StartCheck()
        self._violations: list[ViolationError] = []

    def advance(self, seconds: float) -> None:
        """Runs the fleet for some seconds and checks it after every event."""
        self.fleet.advance(seconds, self.check)

    def check(self) -> None:
        """Raises the first violation found so far."""
        self._owners()
        if self._violations:
            raise self._violations[0]

    def _guard(self, check, *args) -> None:
        # A Deferred would swallow the exception.
        try:
            check(*args)
        except ViolationError as violation:
            self._violations.append(violation)

    def admit(self, node: fleets.Node, account: str) -> None:
        """Requests one admission for an account at an instance."""

        def admitted(_result) -> None:
            now = self.fleet.world.clock.seconds()
            self.admitted.setdefault(account, []).append(now)
            self._guard(self._rates[account].admitted, now)

        def refused(reason) -> None:
            reason.trap(errors.RateExceededError, errors.CreditUnavailableError)
            now = self.fleet.world.clock.seconds()
            self.refused.setdefault(account, []).append(now)

        node.process.run(
            lambda: node.limits.admission.admit(
                self.fleet.accounts[account]
            ).addCallbacks(admitted, refused)
        )

    def begin(
        self,
        node: fleets.Node,
        account: str,
        key: str,
        digest: bytes = b"d",
        timeout: float = 20.0,
    ) -> None:
        """Begins a request with an idempotency key at an instance."""

        def begun(result: ports.Start | ports.Replay) -> None:
            if isinstance(result, ports.Replay):
                self.replays += 1
                return
            self.runs.append(Run(node, result.ticket))
            self._guard(self._starts.start, result.ticket)

        def refused(reason) -> None:
            self.errors.append((key, reason.value.code))
            self._guard(self._starts.refused, account, key, reason.value)

        node.process.run(
            lambda: node.limits.outcomes.begin(
                account, key, digest, timeout
            ).addCallbacks(begun, refused)
        )

    def end(self, run: Run, how: str) -> None:
        """Ends a run with `finish`, `release` or `abandon`.

        Does nothing if the process of its entry has ended.
        """
        self.runs.remove(run)
        if not run.node.process.running:
            return

        def close() -> None:
            outcomes = run.node.limits.outcomes
            if how == "finish":
                head = model.ResponseHead(200, ())
                outcomes.finish(run.ticket, ports.Outcome(head, b"ok", b"h"))
            elif how == "release":
                self._starts.released(run.ticket)
                outcomes.release(run.ticket)
            else:
                outcomes.abandon(run.ticket)

        run.node.process.run(close)
