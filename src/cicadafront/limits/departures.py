"""Order and concurrency of the handovers in a planned stop."""

import math
from collections.abc import Iterable, Mapping

from cicadafront.limits import actions, decisions
from cicadafront.limits.shard import HANDOVER_TIMEOUT_SECONDS, Phase, Shard

# Maximum number of concurrent handovers. Each costs one write to the store, and
# no process grants credit for its shard in the meantime. With a store that
# serves 20 writes/s, a handover takes 0.2 s of the 1 s that a request waits for
# credit, and 128 shards, half of all, take 6.4 s of the 8 s that a daemon
# waits.
HANDOVERS_AT_ONCE = 4


def due(
    now: float,
    held: Iterable[Shard],
    fleet: decisions.Fleet,
    confirmed: bool,
    last_used: Mapping[int, float],
) -> list[actions.Action]:
    """Returns the handovers and releases that may start now.

    This process keeps acting for a shard until its handover starts. A handover
    that is already in progress may be returned again.

    Args:
        now: Current time in seconds.
        held: Shards that the stopping process owns.
        fleet: Its view of the fleet.
        confirmed: Whether the store has recently confirmed its lease.
        last_used: Time in seconds of the last use of each shard that was
            used. The most recently used shards go first.
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
    """Returns the action after a handover that was refused or timed out."""
    late = now >= state.frozen_at + HANDOVER_TIMEOUT_SECONDS
    if not late and not state.refused:
        return []
    target = decisions.next_candidate(now, state, fleet)
    if target is not None:
        return [actions.HandOver(state.number, target.id)]
    return [actions.Release(state.number)]
