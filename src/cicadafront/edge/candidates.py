"""Targets that are asked for one request, and in which order.

Answers the load of a gray spell: most targets of a small service may refuse
at a moment, and the refusals cost a few milliseconds each. Rounds ask ever
more firmly; second copies look for a free slot only, since they are no use
in a queue.
"""

from cicadafront import headers, model
from cicadafront.edge import dependencies, policies, resolved_request

# Bodies above this size are dear to carry between data centres.
LARGE_BODY_BYTES = 16 * 1024
# Targets asked for one second copy, before a pause.
MAX_HEDGE_CANDIDATES = 4


def _is_large(head: model.RequestHead) -> bool:
    length = headers.value_of(head.headers, b"content-length")
    if length.isdigit():
        return int(length) > LARGE_BODY_BYTES
    return headers.CHUNKED in head.headers


class Candidates:
    """Chooses the targets for the attempts of one request.

    Attributes:
        round: The present round.

    Raises:
        ValueError: The deployment asks in no round.
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
        self._rounds = list(deps.dispatch.rounds)
        if _is_large(resolved.head):
            self._rounds = [*deps.dispatch.large_body_rounds, *self._rounds]
        if not self._rounds:
            raise ValueError("asking needs at least one round")
        self._asked = 0
        # Targets that are not asked again, and those asked in this round.
        self._excluded_for_good: set[str] = set()
        self._excluded_in_round: set[str] = set()
        # Targets asked for the present second copy.
        self._hedge_targets: set[str] = set()
        self._unreachable: list[model.Target] = []
        self._relayed: set[str] = set()

    @property
    def round(self) -> policies.DispatchRound:
        """The present round."""
        return self._rounds[0]

    def next(self) -> model.Target | None:
        """Returns the next candidate, of a later round if this one is over.

        Raises:
            RequestError: The request is refused.
        """
        while True:
            found = None
            if self._asked < self.round.max_candidates:
                remote = (
                    self._remote_targets()
                    if self.round.local_only
                    else frozenset()
                )
                found = self._pick(remote | self._excluded_in_round)
            if found is not None:
                self._asked += 1
                self._excluded_in_round.add(found.id)
            if found is not None or len(self._rounds) == 1:
                return found
            last = self._rounds.pop(0)
            self._asked = 0
            if self.round.insist > last.insist:
                self._excluded_in_round = set(self._excluded_for_good)

    def next_for_hedge(self, running: set[str]) -> model.Target | None:
        """Returns the next candidate for a second copy.

        Args:
            running: Ids of the targets that have a copy.

        Raises:
            RequestError: The request is refused.
        """
        account, suspects = self._resolved.account_id, self._deps.suspects
        suspects.check(account, self._fingerprint)
        if self._only_target() is not None:
            # It must not run anywhere else meanwhile.
            return None
        if len(self._hedge_targets) >= MAX_HEDGE_CANDIDATES:
            return None
        closed = running | self._excluded_for_good | self._hedge_targets
        # Those that have just refused the first copy come last.
        found = self._pick(closed | self._excluded_in_round) or self._pick(
            closed
        )
        if found is not None:
            self._hedge_targets.add(found.id)
            self._excluded_in_round.add(found.id)
        return found

    def reset_hedge_candidates(self) -> None:
        """Lets the next second copy ask all targets again."""
        self._hedge_targets.clear()

    def next_by_relay(self) -> tuple[model.Target | None, str]:
        """Returns a target that is cut off, and an instance on the way."""
        while self._unreachable:
            target = self._unreachable.pop(0)
            via = self._deps.relay(target.instance)
            if via is not None and target.id not in self._relayed:
                self._deps.counts["relayed"] += 1
                self._relayed.add(target.id)
                self._asked += 1
                return target, via
        return None, ""

    def exclude(self, target: model.Target) -> None:
        """Asks a target no more, however firmly."""
        self._excluded_for_good.add(target.id)

    def exclude_unreachable(self, target: model.Target) -> None:
        """Asks no target beside an instance whose link was lost."""
        self._unreachable.append(target)
        exclude_unreachable = {
            other.id
            for other in self._known_targets()
            if other.instance == target.instance
        }
        self._excluded_in_round |= exclude_unreachable
        self._excluded_for_good |= exclude_unreachable

    def summary(self) -> str:
        """Returns what is known of the service, for the log."""
        known = self._known_targets()
        serving = [t for t in known if t.state is model.TargetState.SERVING]
        return f"known={len(known)},serving={len(serving)}"

    def _known_targets(self) -> list[model.Target]:
        return self._deps.targets(self._resolved.service)

    def _only_target(self) -> str | None:
        return self._deps.suspects.lone_target(
            self._resolved.account_id, self._fingerprint, self._resolved.service
        )

    def _pick(self, excluded: set[str] | frozenset[str]) -> model.Target | None:
        only = self._only_target()
        if only is None:
            now = self._deps.clock.seconds()
            return self._deps.picker.pick(
                self._resolved.service, frozenset(excluded), now
            )
        if only in excluded:
            return None
        return next((t for t in self._known_targets() if t.id == only), None)

    def _remote_targets(self) -> frozenset[str]:
        """Returns the targets in other data centres."""
        here = self._deps.data_centre
        return frozenset(
            t.id for t in self._known_targets() if t.data_centre != here
        )
