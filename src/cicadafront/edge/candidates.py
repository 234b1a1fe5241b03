"""Order in which the targets of a service are tried for one request.

During a gray failure most targets of a small service may refuse requests at
the same time; each refusal costs a few milliseconds. Each dispatch round
therefore accepts more than the one before: first only a free slot, then a
place in a queue, then a suspended target. Hedges look only for a free slot,
because a hedge in a queue is of no use.
"""

from cicadafront import headers, model
from cicadafront.edge import dependencies, policies, resolved_request

# Bodies above this size, in bytes, are expensive to send between data centres.
LARGE_BODY_BYTES = 16 * 1024
# Targets tried for one hedge before a pause.
MAX_HEDGE_CANDIDATES = 4


def _is_large(head: model.RequestHead) -> bool:
    length = headers.value_of(head.headers, b"content-length")
    if length.isdigit():
        return int(length) > LARGE_BODY_BYTES
    return headers.CHUNKED in head.headers


class Candidates:
    """Chooses the targets for the attempts of one request.

    Attributes:
        round: The current dispatch round.

    Raises:
        ValueError: The dispatch policy has no round.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        resolved: resolved_request.ResolvedRequest,
        fingerprint: bytes,
    ):
        self._deps = deps
        self._resolved = resolved
        self._fingerprint = fingerprint
        dispatch = deps.dispatch
        self._rounds = list(
            dispatch.large_fleet_rounds
            if dispatch.is_large_fleet()
            else dispatch.rounds
        )
        if _is_large(resolved.head):
            self._rounds = [*deps.dispatch.large_body_rounds, *self._rounds]
        if not self._rounds:
            raise ValueError("the dispatch policy needs at least one round")
        self._tried = 0
        # Targets that are excluded in all rounds, and in the current round.
        self._excluded_for_good: set[str] = set()
        self._excluded_in_round: set[str] = set()
        # Targets tried for the current hedge.
        self._hedge_targets: set[str] = set()
        self._unreachable: list[model.Target] = []
        self._relayed: set[str] = set()

    @property
    def round(self) -> policies.DispatchRound:
        """The current dispatch round."""
        return self._rounds[0]

    def next(self) -> model.Target | None:
        """Returns the next candidate, moving to the next round when needed.

        Raises:
            RequestError: The request is refused because it crashes targets.
        """
        while True:
            found = self._next_in_round(frozenset())
            if found is not None or len(self._rounds) == 1:
                return found
            last = self._rounds.pop(0)
            self._tried = 0
            if self.round.insist > last.insist:
                self._excluded_in_round = set(self._excluded_for_good)

    def next_place(self) -> model.Target | None:
        """Returns another candidate of the current round, or None.

        Only agents on other instances wait for a confirmation. A suspect
        request must not be at two targets.

        Raises:
            RequestError: The request is refused because it crashes targets.
        """
        if self._sole_target() is not None:
            return None
        here = frozenset(
            target.id
            for target in self._known_targets()
            if target.instance == self._deps.instance
        )
        return self._next_in_round(here)

    def _next_in_round(self, excluded: frozenset[str]) -> model.Target | None:
        if self._tried >= self.round.max_candidates:
            return None
        if self.round.local_only:
            excluded |= self._remote_targets()
        found = self._pick(excluded | self._excluded_in_round)
        if found is not None:
            self._tried += 1
            self._excluded_in_round.add(found.id)
        return found

    def next_for_hedge(self, running: set[str]) -> model.Target | None:
        """Returns the next candidate for a hedge.

        Args:
            running: Ids of the targets that already have the request.

        Raises:
            RequestError: The request is refused because it crashes targets.
        """
        account, suspects = self._resolved.account_id, self._deps.suspects
        suspects.check(account, self._fingerprint)
        if self._sole_target() is not None:
            # The request must not run at a second target at the same time.
            return None
        if len(self._hedge_targets) >= MAX_HEDGE_CANDIDATES:
            return None
        closed = running | self._excluded_for_good | self._hedge_targets
        # Targets that refused the first attempt in this round come last.
        found = self._pick(closed | self._excluded_in_round) or self._pick(
            closed
        )
        if found is not None:
            self._hedge_targets.add(found.id)
            self._excluded_in_round.add(found.id)
        return found

    def reset_hedge_candidates(self) -> None:
        """Makes all targets available for the next hedge again."""
        self._hedge_targets.clear()

    def next_by_relay(self) -> tuple[model.Target | None, str]:
        """Returns an unreachable target and an instance to relay through.

        Returns:
            The target and the relay instance, or None and "" if there is no
            relay.
        """
        while self._unreachable:
            target = self._unreachable.pop(0)
            if not self.is_eligible(target):
                continue
            via = self._relay(target.instance)
            if via is not None and target.id not in self._relayed:
                self._deps.counts["relayed"] += 1
                self._relayed.add(target.id)
                self._tried += 1
                return target, via
        return None, ""

    def exclude(self, target: model.Target) -> None:
        """Excludes a target from all rounds."""
        self._excluded_for_good.add(target.id)

    def exclude_unreachable(self, target: model.Target) -> None:
        """Excludes all targets of an instance whose link was lost."""
        self._unreachable.append(target)
        on_instance = {
            other.id
            for other in self._known_targets()
            if other.instance == target.instance
        }
        self._excluded_in_round |= on_instance
        self._excluded_for_good |= on_instance

    def summary(self) -> str:
        """Returns the number of known and serving targets, for the log."""
        known = self._known_targets()
        serving = [t for t in known if t.state is model.TargetState.SERVING]
        found = f"known={len(known)},serving={len(serving)}"
        ineligible = self._ineligible()
        return f"{found},ineligible={len(ineligible)}" if ineligible else found

    def is_eligible(self, target: model.Target) -> bool:
        """Returns whether the request may run at a target now."""
        return self._deps.eligibility().may_run(
            target.data_centre, self._resolved.allowed_areas
        )

    def _ineligible(self) -> frozenset[str]:
        """Returns the targets at which the request may not run now."""
        return self._deps.eligibility().ineligible(
            self._known_targets(), self._resolved.allowed_areas
        )

    def _relay(self, instance: str) -> str | None:
        """Returns an instance that may relay the request, or None."""
        allowed = self._resolved.allowed_areas
        rules = self._deps.eligibility()
        if not rules.restricts(allowed):
            return self._deps.relay(instance)
        return self._deps.relay(
            instance, lambda data_centre: rules.may_relay(data_centre, allowed)
        )

    def _known_targets(self) -> list[model.Target]:
        return self._deps.targets(self._resolved.service)

    def _sole_target(self) -> str | None:
        return self._deps.suspects.isolated_target(
            self._resolved.account_id, self._fingerprint, self._resolved.service
        )

    def _pick(self, excluded: set[str] | frozenset[str]) -> model.Target | None:
        excluded = excluded | self._ineligible()
        sole = self._sole_target()
        if sole is None:
            now = self._deps.clock.seconds()
            return self._deps.picker.pick(
                self._resolved.service, frozenset(excluded), now
            )
        if sole in excluded:
            return None
        return next((t for t in self._known_targets() if t.id == sole), None)

    def _remote_targets(self) -> frozenset[str]:
        """Returns the targets in other data centres."""
        here = self._deps.data_centre
        return frozenset(
            t.id for t in self._known_targets() if t.data_centre != here
        )
