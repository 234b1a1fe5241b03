"""Rules that decide which process may claim a shard or become its deputy."""

import math
from collections.abc import Collection, Iterable

import attrs

from cicadafront import ports
from cicadafront.limits import claims, processes, shard, shards
from cicadafront.limits.shard import Kind, Pending, Shard

# A deputy that has been dead this long is replaced.
DEPUTY_DEAD_SECONDS = 5.0
# Credit granted by a dead owner expires at most this long after the proof of
# its death: the lifetime of a grant plus 2% for clock drift.
GRANT_EXPIRY_SECONDS = 2.05
# An instance that refused a call is probed for this long.
SUSPECT_SECONDS = 2.0
# A handover preserves the outcomes of finished requests and a release does
# not, so a failed handover is retried. The number of attempts is limited
# because each may take 3 s and a daemon waits 8 s for all handovers.
HANDOVER_ATTEMPTS = 3
HANDOVER_RETRY_SECONDS = 2.0
# A shard moves to the preferred candidate once that candidate has been
# preferred for this long.
REBALANCE_SECONDS = 30.0
# Journals of previous owners are read for the lifetime of records plus one
# hour for wall-clock skew.
JOURNAL_RETENTION_SECONDS = 25 * 3600.0


class Fleet:
    """The view that this process has of the fleet.

    Attributes:
        me: This process.
        processes: Processes that are proven to have ended.
        candidates: Instances that may own shards.
        suspected: Instances that refused a call, with the time until which
            they are probed although the directory lists them as alive.
    """

    def __init__(self, me: claims.Member, data_centre: str, unix_offset: float):
        self.me = me
        self.processes = processes.ProcessTracker()
        self.candidates: list[ports.InstanceInfo] = []
        self._data_centre = data_centre
        self._unix_offset = unix_offset
        self._instances: dict[str, ports.InstanceInfo] = {}
        self.suspected: dict[str, float] = {}
        self._dead_since: dict[tuple[str, int], float] = {}
        self._order: dict[int, list[ports.InstanceInfo]] = {}

    def update(
        self, now: float, instances: Iterable[ports.InstanceInfo]
    ) -> bool:
        """Applies the directory; returns whether the candidates changed."""
        self._instances = {info.id: info for info in instances}
        before = [info.id for info in self.candidates]
        self.candidates = shards.candidates(self._instances.values())
        self._order.clear()
        for info in self._instances.values():
            self.processes.observe(info)
        return before != [info.id for info in self.candidates]

    def unix(self, now: float) -> float:
        """Converts a time of this process's clock to Unix seconds."""
        return now + self._unix_offset

    def is_candidate(self, instance: str) -> bool:
        """Returns whether an instance may own shards."""
        return any(info.id == instance for info in self.candidates)

    def alive(self, member: claims.Member) -> bool:
        """Returns whether the directory lists a process as running."""
        info = self._instances.get(member.id)
        if info is None or info.incarnation != member.incarnation:
            return False
        return info.alive and not info.leaving

    def dead_for(self, now: float, member: claims.Member) -> float:
        """Returns for how many seconds a process has been listed as dead."""
        if self.alive(member):
            self._dead_since.pop(member.process, None)
            return 0.0
        return now - self._dead_since.setdefault(member.process, now)

    def preferred(
        self, number: int, without: Collection[str] = ()
    ) -> ports.InstanceInfo | None:
        """Returns the highest-ranked candidate for a shard.

        Args:
            number: Number of the shard.
            without: Ids of instances to skip.
        """
        if number not in self._order:
            self._order[number] = shards.ranked(number, self.candidates)
        for info in self._order[number]:
            if info.id not in without:
                return info
        return None

    def deputy(self, number: int) -> claims.Member | None:
        """Returns the deputy that this process should name for a shard."""
        info = shards.deputy_for(
            number, self.me.id, self._data_centre, self.candidates
        )
        if info is None:
            return None
        host, port = info.peer_address
        return claims.Member(info.id, info.incarnation, host, port)

    def new_claim(
        self, now: float, state: Shard, lease: str, kind: Kind, clean: bool
    ) -> claims.Claim:
        """Returns the claim that makes this process the owner of a shard."""
        mine = (claims.journal_prefix(self.me), 0.0)
        deputy = self.deputy(state.number)
        old = state.claim
        if old is None:
            return claims.Claim(self.me, lease, 1, deputy, journals=(mine,))
        unix = self.unix(now)
        journals = [
            (prefix, ended or unix)
            for prefix, ended in old.journals
            if prefix != mine[0]
            and (ended == 0 or ended > unix - JOURNAL_RETENTION_SECONDS)
        ]
        # Begun requests received in a handover may be in no journal.
        unsettled = kind is Kind.HANDOVER and not clean
        return claims.Claim(
            owner=self.me,
            lease=lease,
            epoch=old.epoch + 1,
            deputy=deputy,
            outage=int(unsettled),
            unclean_at=old.unclean_at
            if clean or kind is Kind.HANDOVER
            else unix,
            journals=(*journals, mine),
        )


@attrs.frozen
class Takeover:
    """A claim that is allowed now, or processes to probe first."""

    kind: Kind | None = None
    clean: bool = True
    issue_from: float = -math.inf
    probe: tuple[claims.Member, ...] = ()


def takeover(now: float, state: Shard, fleet: Fleet) -> Takeover:
    """Decides whether this process may claim a shard that it does not own."""
    if state.claim is None:
        preferred = fleet.preferred(state.number)
        if preferred is not None and preferred.id == fleet.me.id:
            return Takeover(Kind.FRESH, issue_from=now)
        return Takeover()
    if state.claim.stopped:
        return _after_stop(state, fleet)
    deputy = state.claim.deputy
    if deputy is not None and deputy.process == fleet.me.process:
        return _as_deputy(now, state, fleet)
    return _as_third_party(now, state, fleet)


def _after_stop(state: Shard, fleet: Fleet) -> Takeover:
    preferred = fleet.preferred(state.number)
    if preferred is None or preferred.id != fleet.me.id:
        return Takeover()
    # The owner stopped acting before it wrote the claim that was read.
    return Takeover(Kind.STOPPED, True, state.known_at + GRANT_EXPIRY_SECONDS)


def _as_deputy(now: float, state: Shard, fleet: Fleet) -> Takeover:
    assert state.claim is not None
    owner = state.claim.owner
    clean = state.clean_for_deputy()
    may_act = now >= state.promised_at + shard.PROMISE_SECONDS
    if state.lapsed_at is not None and may_act:
        # A grant expires no later than the authority of the owner that issued
        # it.
        return Takeover(Kind.DEPUTY, clean, now)
    if fleet.processes.has_ended(owner):
        return Takeover(Kind.DEPUTY, clean, now + GRANT_EXPIRY_SECONDS)
    if fleet.alive(owner) and now >= fleet.suspected.get(owner.id, now):
        return Takeover()
    return Takeover(probe=(owner,))


def _as_third_party(now: float, state: Shard, fleet: Fleet) -> Takeover:
    claim = state.claim
    assert claim is not None
    if state.lapsed_at is None:
        return Takeover()
    pair = [claim.owner] + ([claim.deputy] if claim.deputy else [])
    preferred = fleet.preferred(
        state.number, [each.id for each in pair if not fleet.alive(each)]
    )
    if preferred is None or preferred.id != fleet.me.id:
        return Takeover()
    if any(fleet.processes.has_lease(each) for each in pair):
        return Takeover()
    unproven = [each for each in pair if not fleet.processes.has_ended(each)]
    waited = now - state.lapsed_at >= shard.UNPROVEN_TAKEOVER_SECONDS
    if unproven and not claim.released and not waited:
        return Takeover(probe=tuple(unproven))
    return Takeover(Kind.THIRD_PARTY, False, now + GRANT_EXPIRY_SECONDS)


def new_deputy(now: float, state: Shard, fleet: Fleet) -> claims.Member | None:
    """Returns the deputy that should replace the current one, or None."""
    assert state.claim is not None
    present = state.claim.deputy
    if present is not None:
        dead = fleet.dead_for(now, present) >= DEPUTY_DEAD_SECONDS
        if not dead and not fleet.processes.has_ended(present):
            return None
    chosen = fleet.deputy(state.number)
    if chosen is None or (present and chosen.process == present.process):
        return None
    return chosen


def can_write_claim(state: Shard) -> bool:
    """Returns whether a claim of a shard may be written now."""
    return state.pending is None and state.known_at < math.inf


def pending(
    now: float, state: Shard, fleet: Fleet, lease: str, plan: Takeover
) -> Pending:
    """Returns the write that carries out a planned takeover."""
    assert plan.kind is not None
    claim = fleet.new_claim(now, state, lease, plan.kind, plan.clean)
    return Pending(claim, plan.kind, plan.issue_from, plan.clean)


def next_candidate(
    now: float, state: Shard, fleet: Fleet
) -> ports.InstanceInfo | None:
    """Returns the next handover target of a stopping owner.

    None means that the owner should release the shard instead.
    """
    if len(state.refused) >= HANDOVER_ATTEMPTS:
        return None
    if now >= state.frozen_at + HANDOVER_RETRY_SECONDS:
        return None
    return fleet.preferred(state.number, [fleet.me.id, *state.refused])


def update(
    now: float, state: Shard, fleet: Fleet, lease: str
) -> Pending | None:
    """Returns the write of a new deputy or lease, if either has changed.

    The write also clears an operator's release. The owner is running, so the
    release was wrong and must not allow another process to claim later.
    """
    assert state.claim is not None
    deputy = new_deputy(now, state, fleet)
    same = state.claim.lease == lease and not state.claim.released
    if deputy is None and same:
        return None
    claim = attrs.evolve(
        state.claim,
        lease=lease,
        deputy=deputy or state.claim.deputy,
        outage=state.outage,
        released=False,
    )
    return Pending(claim, Kind.UPDATE)


def fence(now: float, state: Shard, lease: str) -> Pending:
    """Returns the write that stops a failed handover from succeeding late."""
    assert state.claim is not None
    claim = attrs.evolve(
        state.claim,
        lease=lease,
        epoch=state.claim.epoch + 1,
        outage=state.outage,
    )
    return Pending(claim, Kind.FENCE, now)


def confirmation_requests(
    held: Iterable[Shard], me: claims.Member, lease: str | None, age: float
) -> dict[claims.Member, list[shard.ConfirmationRequest]]:
    """Returns the confirmation requests that are due, by deputy.

    Args:
        held: Shards of this process.
        me: This process.
        lease: Its live lease, if any.
        age: Seconds since the store confirmed that lease.
    """
    result: dict[claims.Member, list[shard.ConfirmationRequest]] = {}
    for state in held:
        if state.needs_deputy(lease, age):
            assert state.claim is not None and state.claim.deputy
            request = state.confirmation_request(me)
            result.setdefault(state.claim.deputy, []).append(request)
    return result


class Placement:
    """Selects shards to move to their preferred candidate, one at a time."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._since: dict[int, float] = {}

    def misplaced(self, now: float, number: int, held: Iterable[Shard]) -> bool:
        """Returns whether to hand a shard over to its preferred candidate."""
        preferred = self._fleet.preferred(number)
        if preferred is None or preferred.id == self._fleet.me.id:
            self.forget(number)
            return False
        since = self._since.setdefault(number, now)
        if now - since < REBALANCE_SECONDS:
            return False
        return not any(each.phase is shard.Phase.FROZEN for each in held)

    def forget(self, number: int) -> None:
        """Restarts the waiting time of a shard after a failed handover."""
        self._since.pop(number, None)
