"""Measures a planned stop of all instances and their restart.

The fleet runs on a virtual clock. Each of 64 accounts begins a request with an
idempotency key. Then all instances stop and start again as soon as all have
stopped, after 8 s at most. Each account then begins a request with a new key
and repeats the one with the old key.

Usage: python -m bench.restart --instances 3 --seed 1
"""

import argparse

from cicadafront.config import model as config_model
from cicadafront.emulator import fleet as fleets

ACCOUNTS = tuple(
    config_model.ClientAccount(f"account{number}", 100, 100)
    for number in range(64)
)
# A daemon waits at most this long for its handovers to complete.
HANDOVER_TIMEOUT_SECONDS = 8.0
OBSERVATION_SECONDS = 30.0
STEP_SECONDS = 0.01


class BeginAttempts:
    """Begins a request with the same key for all accounts.

    A begin is retried every 0.05 s while the record owner is unavailable.

    Attributes:
        started_at: Time of the first begins, in seconds.
        begin_delays: Time until each successful begin, in seconds.
        error_codes: Error codes of the refused begins.
    """

    def __init__(self, fleet: fleets.Fleet, key: str):
        self.started_at = fleet.world.clock.seconds()
        self.begin_delays: list[float] = []
        self.error_codes: list[str] = []
        self._fleet = fleet
        nodes = list(fleet.nodes.values())
        for number, account in enumerate(ACCOUNTS):
            self._begin(nodes[number % len(nodes)], account.id, key)

    def _begin(self, node: fleets.Node, account: str, key: str) -> None:
        def on_begun(_result) -> None:
            now = self._fleet.world.clock.seconds()
            self.begin_delays.append(now - self.started_at)

        def on_refused(reason) -> None:
            code = reason.value.code
            if code == "record_owner_unavailable":
                node.process.callLater(0.05, self._begin, node, account, key)
            else:
                self.error_codes.append(code)

        node.process.run(
            lambda: node.limits.outcomes.begin(
                account, key, b"d", 20.0
            ).addCallbacks(on_begun, on_refused)
        )


def stop(fleet: fleets.Fleet) -> tuple[float, int]:
    """Stops all instances; returns the seconds taken and the number stopped."""
    started_at = fleet.world.clock.seconds()
    stopped: list[str] = []
    for id, node in fleet.nodes.items():

        def leave(id=id, node=node) -> None:
            node.limits.stop().addCallback(lambda _: stopped.append(id))

        node.process.run(leave)
    while len(stopped) < len(fleet.nodes):
        if fleet.world.clock.seconds() - started_at >= HANDOVER_TIMEOUT_SECONDS:
            break
        fleet.advance(STEP_SECONDS)
    return fleet.world.clock.seconds() - started_at, len(stopped)


def main() -> None:
    """Runs the stop and the restart and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    fleet = fleets.Fleet(options.seed, options.instances, 3, 0.0, ACCOUNTS)
    fleet.advance(15)
    before = BeginAttempts(fleet, "old")
    fleet.advance(5)
    stop_seconds, stopped = stop(fleet)
    for id in list(fleet.nodes):
        fleet.restart(id)
    new, old = BeginAttempts(fleet, "new"), BeginAttempts(fleet, "old")
    fleet.advance(OBSERVATION_SECONDS)
    print(f"instances {options.instances}, seed {options.seed}")
    print(
        f"begun before the stop: {len(before.begin_delays)} of {len(ACCOUNTS)}"
    )
    print(f"stop: {stop_seconds:.2f} s, {stopped} instances stopped in time")
    print(f"new keys begun: {len(new.begin_delays)} of {len(ACCOUNTS)}")
    if new.begin_delays:
        new.begin_delays.sort()
        median = new.begin_delays[len(new.begin_delays) // 2]
        print(f"  median {median:.2f} s, last {new.begin_delays[-1]:.2f} s")
    print(
        f"new keys refused: {sorted(set(new.error_codes))} "
        f"{len(new.error_codes)}"
    )
    print(
        f"old keys: {len(old.begin_delays)} begun, "
        f"{len(old.error_codes)} refused"
    )


if __name__ == "__main__":
    main()
