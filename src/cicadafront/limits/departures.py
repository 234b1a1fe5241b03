"""Order and number of the hand-overs of a planned stop."""

import math
from collections.abc import Iterable, Mapping

from cicadafront.limits import actions, decisions
from cicadafront.limits.shard import HANDOVER_TIMEOUT_SECONDS, Phase, Shard

# Hand-overs that run at the same time. Each costs a write at the store, and
# nobody grants credit for its shard meanwhile: at a store that serves 20
# writes/s it takes 0.2 s of the 1 s that a request waits for credit, and 128
# shards, half of all, take 6.4 s of the 8 s that a daemon waits.
HANDOVERS_AT_ONCE = 4


def due(
    now: float,
    held: Iterable[Shard],
    fleet: decisions.Fleet,
    confirmed: bool,
    last_used: Mapping[int, float],
) -> list[actions.Action]:
    """Returns the hand-overs and releases that may start now.

    A shard that waits for its turn still acts. A hand-over that already runs
    may be returned again.

    Args:
        now: Seconds.
        held: Shards of the process that stops.
        fleet: The fleet as it sees it.
        confirmed: Whether the store has lately confirmed its lease.
        last_used: Time of the last use of each shard that was used. The most
            recently used ones go first.
    """
    result: list[actions.Action] = []
    waiting: list[Shard] = []
    room = HANDOVERS_AT_ONCE
    for state in held:
        if state.phase is Phase.HOLDING:
            waiting.append(state)
        elif not state.releasing:
            step = _next_step(now, state, fleet)
            result += step
            room -= not any(isinstance(each, actions.Release) for each in step)
    if not confirmed:
        return result
    waiting.sort(
        key=lambda state: last_used.get(state.number, -math.inf), reverse=True
    )
    for state in waiting:
        target = fleet.preferred(state.number, [fleet.me.id])
        if target is None:
            result.append(actions.Release(state.number))
        elif room > 0:
            result.append(actions.HandOver(state.number, target.id))
            room -= 1
    return result


def _next_step(
    now: float, state: Shard, fleet: decisions.Fleet
) -> list[actions.Action]:
    """Returns what follows a hand-over that was refused or is late."""
    late = now >= state.frozen_at + HANDOVER_TIMEOUT_SECONDS
    if not late and not state.refused:
        return []
    target = decisions.next_candidate(now, state, fleet)
    if target is not None:
        return [actions.HandOver(state.number, target.id)]
    return [actions.Release(state.number)]
