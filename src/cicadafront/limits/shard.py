"""State and promises of one process for one shard."""

import enum
import math
from typing import Protocol

import attrs
import automat

from cicadafront.limits import claims

# Time to live of a lease in the store.
LEASE_SECONDS = 5.0
# An owner may act for this long after it sent a request that was confirmed. The
# time is shorter than the lease and than a deputy's promise, so that the owner
# stops first even if the two clocks differ by 1%.
AUTHORITY_SECONDS = 4.0
# A deputy neither claims nor acts for this long after its last promise.
PROMISE_SECONDS = 5.0
# A handover without an answer has failed after this time.
HANDOVER_TIMEOUT_SECONDS = 5.0
# The owner asks its deputy for confirmation once the store's confirmation is
# this old, which means that a renewal has failed or is late.
FRESH_CONFIRMATION_SECONDS = 2.0
# An owner acts at most this long on its deputy's promises alone. It is shorter
# than the time after which a third party may claim without a proof that the
# owner and the deputy have ended.
DEPUTY_ONLY_SECONDS = 11 * 3600.0
UNPROVEN_TAKEOVER_SECONDS = 12 * 3600.0


class Phase(enum.Enum):
    """Lifecycle states of a shard in one process."""

    FOLLOWING = "following"
    CLAIMING = "claiming"
    HOLDING = "holding"
    FROZEN = "frozen"


@attrs.define
class _Stage:
    phase: Phase = Phase.FOLLOWING


class Lifecycle(Protocol):
    """Inputs of the lifecycle state machine of a shard."""

    def claim(self) -> None:
        """A claim was sent to the store."""

    def acquired(self) -> None:
        """The store holds this process's claim."""

    def lost(self) -> None:
        """The store holds another claim."""

    def freeze(self) -> None:
        """The shard is being handed over."""


def _build() -> automat.TypeMachine[Lifecycle, _Stage]:
    builder = automat.TypeMachineBuilder(Lifecycle, _Stage)
    states = {phase: builder.state(phase.value) for phase in Phase}

    def step(phase: Phase, event, to: Phase) -> None:
        def enter(lifecycle: Lifecycle, stage: _Stage) -> None:
            stage.phase = to

        states[phase].upon(event).to(states[to])(enter)

    step(Phase.FOLLOWING, Lifecycle.claim, Phase.CLAIMING)
    step(Phase.CLAIMING, Lifecycle.acquired, Phase.HOLDING)
    step(Phase.HOLDING, Lifecycle.freeze, Phase.FROZEN)
    # After a failed handover, the owner claims a new epoch as a fence before it
    # acts again.
    step(Phase.FROZEN, Lifecycle.acquired, Phase.HOLDING)
    for phase in (Phase.CLAIMING, Phase.HOLDING, Phase.FROZEN):
        step(phase, Lifecycle.lost, Phase.FOLLOWING)
    return builder.build()


_MACHINE = _build()


class Kind(enum.Enum):
    """Reasons to write a claim."""

    FRESH = "fresh"
    DEPUTY = "deputy"
    THIRD_PARTY = "third party"
    HANDOVER = "handover"
    FENCE = "fence"
    STOPPED = "stopped"
    RELEASE = "release"
    UPDATE = "update"


@attrs.define
class Pending:
    """A compare-and-swap whose result is unknown.

    It may take effect at any time until the version of the key changes. Until
    then, this process does nothing that the write would make unsafe.
    """

    claim: claims.Claim
    kind: Kind
    issue_from: float = -math.inf
    clean: bool = True
    in_flight: bool = False
    retry_at: float = -math.inf


@attrs.define
class Shard:
    """State and promises of this process for a shard.

    Times are in seconds of this process's clock.

    Attributes:
        number: Number of the shard.
        claim: Latest known claim, or None.
        version: Version of the claim in the store; 0 if absent.
        known_at: Time at which that version became known; infinite before
            the first read.
        lapsed_at: Time at which a read showed that the claim's lease had
            expired, or None.
        pending: Unresolved write of this process.
        deputy_until: Time at which the deputy's confirmation expires.
        stored_at: Send time of the latest request that the store confirmed.
        promised_at: Time of the last promise given as deputy.
        promised_epoch: Epoch of that promise.
        promised_outage: Highest outage number of a promise in that epoch.
        outage: Number of the last outage in this epoch.
        outage_open: Whether begun requests may be kept in memory only.
        frozen_at: Time at which the handover began.
        refused: Candidates to which a handover failed in a planned stop.
        releasing: Whether the shard is released once its begun requests are
            in the journal; this process does not act under that claim again.
    """

    number: int
    claim: claims.Claim | None = None
    version: int = 0
    known_at: float = math.inf
    lapsed_at: float | None = None
    pending: Pending | None = None
    deputy_until: float = -math.inf
    stored_at: float = -math.inf
    promised_at: float = -math.inf
    promised_epoch: int = 0
    promised_outage: int = 0
    outage: int = 0
    outage_open: bool = False
    frozen_at: float = -math.inf
    refused: tuple[str, ...] = ()
    releasing: bool = False
    _stage: _Stage = attrs.field(factory=_Stage, init=False)
    lifecycle: Lifecycle = attrs.field(init=False)

    @lifecycle.default
    def _start(self) -> Lifecycle:
        return _MACHINE(self._stage)

    @property
    def phase(self) -> Phase:
        """Lifecycle state of the shard in this process."""
        return self._stage.phase

    @property
    def held(self) -> bool:
        """Whether the store holds this process's claim."""
        return self.phase in (Phase.HOLDING, Phase.FROZEN)

    def authority_end(self, lease: str | None, confirmed_at: float) -> float:
        """Returns the time until which this process may act.

        Args:
            lease: Live lease of this process, if any.
            confirmed_at: Send time in seconds of the latest request that
                confirmed that lease.
        """
        if self.phase is not Phase.HOLDING or self.claim is None:
            return -math.inf
        end = min(self.deputy_until, self.stored_at + DEPUTY_ONLY_SECONDS)
        if lease is not None and lease == self.claim.lease:
            end = max(end, confirmed_at + AUTHORITY_SECONDS)
        return end

    @property
    def changes_deputy(self) -> bool:
        """Whether an unresolved write names another deputy."""
        if self.pending is None or self.claim is None:
            return False
        return self.pending.claim.deputy != self.claim.deputy

    @property
    def settled(self) -> bool:
        """Whether the journal holds all requests begun in this epoch."""
        return self.claim is None or self.outage <= self.claim.settled

    def is_deputy(self, me: claims.Member) -> bool:
        """Returns whether the latest known claim names a process as deputy."""
        deputy = self.claim.deputy if self.claim else None
        return deputy is not None and deputy.process == me.process

    def begin_epoch(self, kind: Kind) -> None:
        """Starts to hold the shard under the latest claim."""
        assert self.claim is not None
        if kind is not Kind.FENCE:
            self.outage = self.claim.outage
        self.refused = ()
        self.releasing = False
        self.end_outage()

    def needs_deputy(self, lease: str | None, age: float) -> bool:
        """Returns whether to request confirmation from the deputy.

        Args:
            lease: Live lease of this process, if any.
            age: Seconds since the store confirmed that lease.
        """
        if self.phase is not Phase.HOLDING or self.claim is None:
            return False
        if self.claim.deputy is None or self.changes_deputy:
            return False
        return self.claim.lease != lease or age > FRESH_CONFIRMATION_SECONDS

    def freeze(self, now: float) -> bool:
        """Stops acting for the shard; returns whether it is now frozen."""
        if self.phase is Phase.FROZEN:
            return True
        if self.phase is not Phase.HOLDING or self.pending is not None:
            return False
        self.lifecycle.freeze()
        self.frozen_at = now
        self.end_outage()
        return True

    def end_outage(self) -> None:
        """Ends an outage; later requests must be in the journal."""
        self.outage_open = False
        self.deputy_until = -math.inf

    def settle(self, lease: str | None) -> int | None:
        """Ends an outage; returns its number if it is not yet settled."""
        if self.pending is not None or self.phase is not Phase.HOLDING:
            return None
        if self.claim is None or self.claim.lease != lease or self.settled:
            return None
        self.end_outage()
        return self.outage

    def release_write(self, now: float) -> Pending | None:
        """Returns the write that releases the shard, if it is due.

        All begun requests of this process must be in its journal.
        """
        if not self.releasing or not self.held or self.pending is not None:
            return None
        assert self.claim is not None
        claim = attrs.evolve(
            self.claim,
            outage=self.outage,
            settled=max(self.outage, self.claim.settled),
            stopped=True,
        )
        return Pending(claim, Kind.RELEASE, now)

    def confirmation_request(self, me: claims.Member) -> "ConfirmationRequest":
        """Returns the request to the deputy and opens an outage if needed."""
        assert self.claim is not None and self.claim.deputy is not None
        if not self.outage_open:
            self.outage_open = True
            self.outage += 1
        return ConfirmationRequest(
            self.number,
            me.process,
            self.claim.deputy.process,
            self.claim.epoch,
            self.version,
            self.outage,
        )

    def update_claim(
        self, now: float, claim: claims.Claim | None, version: int
    ) -> bool:
        """Applies a claim from the store; returns whether it is newer.

        A newer version resolves every earlier write, because a
        compare-and-swap on an older version can no longer take effect.
        """
        if version <= self.version and self.known_at < math.inf:
            return False
        self.claim, self.version = claim, version
        self.pending = None
        self.known_at = now
        self.lapsed_at = None
        return True

    def retry(self, at: float) -> None:
        """Allows an unresolved write to be sent again from a given time."""
        if self.pending is not None:
            self.pending.in_flight = False
            self.pending.retry_at = at

    def promise(
        self, now: float, request: "ConfirmationRequest", me: claims.Member
    ) -> bool:
        """Answers an owner that requests confirmation from its deputy."""
        if request.deputy != me.process or self.pending is not None:
            return False
        if self.phase is not Phase.FOLLOWING:
            return False
        if not self._may_be_deputy(request, me):
            return False
        if request.epoch < self.promised_epoch:
            return False
        self.promised_at = now
        if request.epoch > self.promised_epoch:
            self.promised_outage = 0
        self.promised_epoch = request.epoch
        self.promised_outage = max(self.promised_outage, request.outage)
        return True

    def _may_be_deputy(
        self, request: "ConfirmationRequest", me: claims.Member
    ) -> bool:
        claim = self.claim
        if claim is None or claim.epoch < request.epoch:
            return True
        if claim.epoch > request.epoch:
            return False
        named = claim.deputy.process if claim.deputy else None
        if claim.owner.process == request.owner and named == me.process:
            return True
        # A newer version may name this process as deputy.
        return request.version > self.version

    def confirm(self, sent: float, request: "ConfirmationRequest") -> None:
        """Handles a promise of the deputy for a request sent at `sent`."""
        claim = self.claim
        if self.phase is not Phase.HOLDING or claim is None:
            return
        deputy = claim.deputy.process if claim.deputy else None
        if claim.epoch != request.epoch or deputy != request.deputy:
            return
        # The promise is ignored while a write may already have named another
        # deputy, or once the claim declares that the journal holds the requests
        # of this outage.
        if self.changes_deputy or request.outage != self.outage:
            return
        if self.outage_open:
            until = sent + AUTHORITY_SECONDS
            self.deputy_until = max(self.deputy_until, until)

    def clean_for_deputy(self) -> bool:
        """Returns whether the journal holds all requests begun by the owner."""
        assert self.claim is not None
        outage = self.claim.outage
        if self.promised_epoch == self.claim.epoch:
            outage = max(outage, self.promised_outage)
        return outage <= self.claim.settled


@attrs.frozen
class ConfirmationRequest:
    """Request of an owner to its deputy to confirm the ownership of a shard."""

    shard: int
    owner: tuple[str, int]
    deputy: tuple[str, int]
    epoch: int
    version: int
    outage: int
