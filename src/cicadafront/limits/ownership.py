"""Decides which shards this process owns and until when it may act.

`Ownership` performs no I/O: the caller reports events and executes the actions
that it returns. The rules are in docs/design.md, 3.5, and docs/limits.md.
"""

import math
import random
from collections.abc import Iterable, Mapping

import attrs

from cicadafront import ports
from cicadafront.limits import (
    actions,
    claims,
    decisions,
    departures,
    shard,
    shards,
)
from cicadafront.limits.lease import Lease
from cicadafront.limits.schedule import BACKOFF_SECONDS, Schedule
from cicadafront.limits.shard import (
    ConfirmationRequest,
    Kind,
    Pending,
    Phase,
    Shard,
)

CONFIRMATION_INTERVAL_SECONDS = 1.0
LEASE_LIST_SECONDS = 1.0
READ_ALL_SECONDS = 60.0
# Maximum number of claims in one tick, so that a starting fleet does not write
# all claims at once.
CLAIMS_PER_TICK = 8
# Updates of claims that are written at the same time. After an outage each
# owner has two for each of its shards; at a slow store the renewal of the lease
# would wait behind them until the next outage begins.
CONCURRENT_UPDATES = 2
# Maximum number of releases in one call. With a call every 50 ms, a single
# owner of all shards needs 1.6 s, within the 8 s that a daemon waits.
RELEASES_PER_CALL = 8


class Ownership:
    """The view that one process has of the ownership of all shards.

    Attributes:
        me: This process.
        shards: State of each shard.
        lease: Lease of this process.
        schedule: Due times of store calls.
        stopping: Whether a planned stop has begun.
    """

    def __init__(
        self,
        me: claims.Member,
        data_centre: str,
        rng: random.Random,
        unix_offset: float = 0.0,
    ):
        self.me = me
        self.shards = [Shard(number) for number in range(shards.SHARDS)]
        self.schedule = Schedule(rng)
        self.lease = Lease(self.schedule, rng)
        self.stopping = False
        self._acting = True
        self._last_used: Mapping[int, float] = {}
        # Shards whose claim is being updated, or was since the last check.
        self._updating: set[int] = set()
        self._rng = rng
        self._live: set[str] = set()
        self._fleet = decisions.Fleet(me, data_centre, unix_offset)
        self._placement = decisions.Placement(self._fleet)

    def stop(self, last_used: Mapping[int, float]) -> None:
        """Begins a planned stop.

        Args:
            last_used: Time in seconds of the last use of each shard that was
                used.
        """
        self.stopping = True
        self._last_used = last_used

    def acts(self, now: float, number: int) -> int | None:
        """Returns the claim's epoch if this process may act as owner.

        Returns None otherwise.
        """
        if not self._acting:
            return None
        claim = self.shards[number].claim
        if claim is not None and now < self.authority_end(number):
            return claim.epoch
        return None

    def stop_acting(self) -> None:
        """Stops acting for all shards because the process is about to exit."""
        self._acting = False

    def idle(self) -> bool:
        """Returns whether this process has no ownerless shard to claim."""
        for state in self.shards:
            if state.claim is None or state.claim.stopped:
                preferred = self._fleet.preferred(state.number)
                if preferred is None or preferred.id == self.me.id:
                    return False
        return True

    def authority_end(self, number: int) -> float:
        """Returns the time until which this process may act for a shard."""
        lease = self.lease
        return self.shards[number].authority_end(lease.id, lease.confirmed_at)

    def memory_only(self, now: float, number: int) -> bool:
        """Returns whether begun requests may be kept in memory only.

        The deputy must know of the outage first. Otherwise it would assume
        that a journal without these requests is complete.
        """
        state = self.shards[number]
        return state.outage_open and now < state.deputy_until

    def owner(self, number: int) -> str | None:
        """Returns the last known owner of a shard."""
        claim = self.shards[number].claim
        return claim.owner.id if claim and not claim.stopped else None

    def directory_changed(
        self, now: float, instances: Iterable[ports.InstanceInfo]
    ) -> None:
        """Applies a change of the directory."""
        if self._fleet.update(now, instances):
            self.schedule.due_by("read", now + 1.0)

    def lease_renewed(self, sent: float, lease: str) -> None:
        """Handles the store's confirmation of a lease renewal."""
        if not self.lease.renewed(sent, lease):
            return
        for state in self.shards:
            if state.held and state.claim and state.claim.lease == lease:
                state.stored_at = self.lease.confirmed_at

    def store_failed(self, now: float, what: str) -> None:
        """Handles a missing answer to `lease`, `read` or `leases`."""
        self.schedule.failed(now, what)

    def leases_read(
        self, now: float, sent: float, live: dict[str, claims.Member]
    ) -> None:
        """Handles the list of live leases; an absent one has expired."""
        self.schedule.done("leases", now + LEASE_LIST_SECONDS)
        if self._live - live.keys():
            # This process may be the deputy of a shard that the expired lease
            # covered without knowing it yet.
            self.schedule.due_by("read", now)
        self._live = set(live)
        self._fleet.processes.set_leased(
            {each.process for each in live.values()}
        )
        for state in self.shards:
            # An answer to a request sent before the claim became known may
            # lack the claim's lease.
            if state.claim is None or sent < state.known_at:
                continue
            if state.claim.lease not in live and state.lapsed_at is None:
                state.lapsed_at = now

    def claims_read(
        self, now: float, found: dict[int, tuple[claims.Claim, int]]
    ) -> list[actions.Action]:
        """Handles a read of all claims in the store."""
        jitter = self._rng.uniform(0.9, 1)
        self.schedule.done("read", now + jitter * READ_ALL_SECONDS)
        result = []
        for state in self.shards:
            claim, version = found.get(state.number, (None, 0))
            result += self._claim_observed(now, state, claim, version)
        return result

    def claim_stored(
        self, now: float, number: int, claim: claims.Claim, version: int
    ) -> list[actions.Action]:
        """Handles a claim that is or was in the store."""
        return self._claim_observed(now, self.shards[number], claim, version)

    def write_conflicted(self, now: float, number: int) -> None:
        """Handles a version conflict of a `WriteClaim`.

        A read of the claims shows which claim is in the store.
        """
        self.shards[number].retry(now + BACKOFF_SECONDS[0])
        self.schedule.due_by("read", now)

    def write_failed(self, now: float, number: int) -> None:
        """Handles a `WriteClaim` without an answer; it may yet take effect."""
        retry_at = self.schedule.failed(now, "write")
        self.shards[number].retry(retry_at)
        self.schedule.due_by("read", retry_at)

    def confirmation_requested(
        self, now: float, request: ConfirmationRequest
    ) -> bool:
        """Answers an owner; True is a promise not to claim for 5 s."""
        state = self.shards[request.shard]
        if request.version > state.version:
            self.schedule.due_by("read", now)
        return state.promise(now, request, self.me)

    def suspect(self, now: float, instance: str) -> None:
        """Handles a failed call to an instance; its deputies then probe it."""
        self._fleet.suspected[instance] = now + decisions.SUSPECT_SECONDS
        if all(self.owner(state.number) != instance for state in self.shards):
            self.schedule.due_by("read", now)

    def connection_refused(self, member: claims.Member) -> None:
        """Handles a refused connection, the proof that a process has ended."""
        self._fleet.processes.mark_ended(member)

    def handover_requested(
        self,
        now: float,
        number: int,
        claim: claims.Claim,
        version: int,
        settled: bool,
    ) -> list[actions.Action]:
        """Takes over a shard whose owner has stopped acting for it.

        Args:
            now: Current time in seconds.
            number: Number of the shard.
            claim: Claim of the previous owner.
            version: Version of that claim in the store.
            settled: Whether all requests that began under `claim` are in the
                journal of its owner.
        """
        state = self.shards[number]
        result = self._claim_observed(now, state, claim, version)
        if version != state.version or not decisions.can_write_claim(state):
            return result
        if state.phase is not Phase.FOLLOWING or not self._may_claim(now):
            return result
        plan = decisions.Takeover(Kind.HANDOVER, settled, now)
        return result + self._claim(now, state, plan)

    def freeze(self, now: float, number: int) -> bool:
        """Stops acting for a shard that is to be handed over."""
        return self.shards[number].freeze(now)

    def handover_failed(self, number: int, to: str) -> None:
        """Handles a handover that was refused or got no answer."""
        if self.stopping:
            self.shards[number].refused += (to,)

    def release(self, now: float, number: int) -> bool:
        """Permanently stops acting for a shard; returns whether it did."""
        state = self.shards[number]
        state.releasing = self.stopping and state.freeze(now)
        return state.releasing

    def journaled(self, now: float) -> list[actions.Action]:
        """Releases shards, as all begun requests are now in the journal."""
        result: list[actions.Action] = []
        for state in self.shards:
            write = state.release_write(now)
            if write is not None and len(result) < RELEASES_PER_CALL:
                result += self._write(state, write)
        return result

    def settle(self, now: float, number: int) -> int | None:
        """Ends a store outage; later requests must be in the journal.

        Returns:
            The number of the outage, to be passed to `settled` once all begun
            requests are in the journal, or None if no outage has to be
            settled now.
        """
        if not self._store_confirmed(now) or not self._may_update():
            return None
        return self.shards[number].settle(self.lease.id)

    def settled(
        self, now: float, number: int, outage: int
    ) -> list[actions.Action]:
        """Records that the journal holds the requests of all outages so far."""
        state = self.shards[number]
        if state.phase is not Phase.HOLDING or state.pending is not None:
            return []
        if not self._may_update():
            return []
        assert state.claim is not None
        claim = attrs.evolve(state.claim, settled=outage)
        return self._write(state, Pending(claim, Kind.UPDATE))

    def tick(self, now: float) -> list[actions.Action]:
        """Returns the actions that are due; call it at least every 0.25 s."""
        result, claims_left = self._store_calls(now), CLAIMS_PER_TICK
        for state in self.shards:
            if state.pending is not None:
                result += self._resend(now, state)
            elif state.held:
                if not self.stopping:
                    result += self._maintain(now, state)
            elif claims_left and self._may_claim(now):
                made = self._consider_takeover(now, state)
                claims_left -= state.pending is not None
                result += made
        return result + self.departures(now) + self._request_confirmations(now)

    def departures(self, now: float) -> list[actions.Action]:
        """Returns the actions that are due for a planned stop.

        Call it also when a handover ends, so that the next one starts.
        """
        if not self.stopping:
            return []
        held = [
            state
            for state in self.shards
            if state.held and state.pending is None
        ]
        confirmed = self._store_confirmed(now)
        return departures.due(
            now, held, self._fleet, confirmed, self._last_used
        )

    def _claim_observed(
        self,
        now: float,
        state: Shard,
        claim: claims.Claim | None,
        version: int,
    ) -> list[actions.Action]:
        pending, previous = state.pending, state.claim
        if not state.update_claim(now, claim, version):
            return []
        if state.phase is Phase.FOLLOWING:
            return []
        if pending is not None and claim == pending.claim:
            return self._claim_acquired(state, pending)
        if state.held and previous is not None and claim is not None:
            same = (claim.owner, claim.epoch) == (
                previous.owner,
                previous.epoch,
            )
            if same:
                return []
        held = state.held
        state.lifecycle.lost()
        state.deputy_until = -math.inf
        return [actions.Lost(state.number)] if held else []

    def _claim_acquired(
        self, state: Shard, write: Pending
    ) -> list[actions.Action]:
        if write.kind is Kind.UPDATE:
            return []
        if write.kind is Kind.RELEASE:
            state.lifecycle.lost()
            return [actions.Lost(state.number)]
        state.lifecycle.acquired()
        state.begin_epoch(write.kind)
        claim = write.claim
        if claim.lease == self.lease.id:
            state.stored_at = self.lease.confirmed_at
        return [
            actions.Acquired(
                state.number, claim, write.kind, write.clean, write.issue_from
            )
        ]

    def _store_confirmed(self, now: float) -> bool:
        return self.lease.age(now) < shard.FRESH_CONFIRMATION_SECONDS

    def _may_claim(self, now: float) -> bool:
        return self._store_confirmed(now) and not self.stopping

    def _store_calls(self, now: float) -> list[actions.Action]:
        involved = self._fleet.is_candidate(self.me.id) or any(
            state.held or state.is_deputy(self.me) for state in self.shards
        )
        if not involved:
            return []
        result = self.lease.due_actions(now)
        if self.lease.id is None:
            return result
        if self.schedule.begin(now, "read"):
            result.append(actions.ReadClaims())
        if self.schedule.begin(now, "leases"):
            result.append(actions.ReadLeases())
        return result

    def _consider_takeover(
        self, now: float, state: Shard
    ) -> list[actions.Action]:
        if not decisions.can_write_claim(state):
            return []
        plan = decisions.takeover(now, state, self._fleet)
        if plan.kind is not None:
            return self._claim(now, state, plan)
        return [
            actions.Probe(member)
            for member in plan.probe
            if self._fleet.processes.probe_due(now, member)
        ]

    def _claim(
        self, now: float, state: Shard, plan: decisions.Takeover
    ) -> list[actions.Action]:
        assert self.lease.id is not None
        state.lifecycle.claim()
        return self._write(
            state,
            decisions.pending(now, state, self._fleet, self.lease.id, plan),
        )

    def _maintain(self, now: float, state: Shard) -> list[actions.Action]:
        if state.phase is Phase.FROZEN:
            return self._fence_failed_handover(now, state)
        if not self._store_confirmed(now):
            return []
        if self._placement.misplaced(now, state.number, self.shards):
            target = self._fleet.preferred(state.number, [self.me.id])
            if target is not None:
                return [actions.HandOver(state.number, target.id)]
        if not self._may_update():
            return []
        assert state.claim is not None and self.lease.id is not None
        write = decisions.update(now, state, self._fleet, self.lease.id)
        return self._write(state, write) if write is not None else []

    def _fence_failed_handover(
        self, now: float, state: Shard
    ) -> list[actions.Action]:
        if now < state.frozen_at + shard.HANDOVER_TIMEOUT_SECONDS:
            return []
        if not self._store_confirmed(now):
            return []
        assert state.claim is not None and self.lease.id is not None
        self._placement.forget(state.number)
        write = decisions.fence(now, state, self.lease.id)
        return self._write(state, write)

    def _may_update(self) -> bool:
        """Returns whether the claim of another shard may be updated now."""
        if len(self._updating) >= CONCURRENT_UPDATES:
            self._updating = {
                number
                for number in self._updating
                if self.shards[number].pending is not None
            }
        return len(self._updating) < CONCURRENT_UPDATES

    def _write(self, state: Shard, write: Pending) -> list[actions.Action]:
        write.in_flight = True
        if write.kind is Kind.UPDATE:
            self._updating.add(state.number)
        state.pending = write
        if state.changes_deputy:
            # From now on, the write may replace the old deputy at any time.
            state.deputy_until = -math.inf
        return [actions.WriteClaim(state.number, write.claim, state.version)]

    def _resend(self, now: float, state: Shard) -> list[actions.Action]:
        write = state.pending
        if write is None or write.in_flight or now < write.retry_at:
            return []
        return self._write(state, write)

    def _request_confirmations(self, now: float) -> list[actions.Action]:
        confirmation_requests = decisions.confirmation_requests(
            self.shards, self.me, self.lease.id, self.lease.age(now)
        )
        if not confirmation_requests or not self.schedule.begin(now, "ask"):
            return []
        self.schedule.done("ask", now + CONFIRMATION_INTERVAL_SECONDS)
        return [
            actions.RequestConfirmation(deputy, tuple(each))
            for deputy, each in confirmation_requests.items()
        ]
