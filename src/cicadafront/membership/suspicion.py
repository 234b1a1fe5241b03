"""Time that a suspect has to refute, and the clock that measures it."""

import math

# A suspicion travels with probes, so that the number of instances that know
# it doubles about every 0.25 s; the suspect must learn it and refute it.
SUSPICION_SECONDS = 1.5
DOUBLING_SECONDS = 0.25
# With more suspects than this, a partition or the loss of a rack is likely.
# Refutations are then not broadcast, which would use up the byte budget, and
# take longer.
MASS_FAILURE_THRESHOLD = 3
MASS_FAILURE_FACTOR = 2.5
# Largest step of the clock; ticks are 0.1 s apart.
MAX_STEP_SECONDS = 0.25
# Silence of all others after which this instance doubts itself. In a running
# fleet it gets about 4 datagrams a second. Shorter than a probe (1 s), so that
# an instance that stops hearing accuses nobody.
ISOLATION_SECONDS = 0.9
# Silence after which it judges the others all the same: they may have died.
ISOLATION_LIMIT_SECONDS = 10.0
# With fewer live instances, silence is likely to be their failure.
MIN_PEERS = 3


class AwakeClock:
    """Clock that stands still while this instance is paused or cut off.

    Attributes:
        time: Seconds that this instance was awake.
    """

    def __init__(self, now: float):
        self.time = 0.0
        self._ticked = now
        self._last_received = now

    def datagram_received(self, now: float) -> None:
        """Notes that a datagram arrived."""
        self._last_received = now

    def isolated(self, now: float, peers: int) -> bool:
        """Returns whether this instance seems to be cut off."""
        return (
            peers >= MIN_PEERS and now - self._last_received > ISOLATION_SECONDS
        )

    def tick(self, now: float, peers: int) -> None:
        """Advances the clock."""
        step = max(0.0, now - self._ticked)
        self._ticked = now
        if step > MAX_STEP_SECONDS:
            # The silence of the pause itself is no evidence of anything.
            self._last_received += step - MAX_STEP_SECONDS
        silence = now - self._last_received
        if self.isolated(now, peers) and silence < ISOLATION_LIMIT_SECONDS:
            return
        self.time += min(step, MAX_STEP_SECONDS)


class Suspicions:
    """Since when instances are suspect, on the awake clock."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    @property
    def few_suspects(self) -> bool:
        """Whether only few are suspect."""
        return len(self._since) <= MASS_FAILURE_THRESHOLD

    def start(self, clock: float, id: str) -> None:
        """Starts the time of a suspect, unless it is running."""
        self._since.setdefault(id, clock)

    def cancel(self, id: str) -> None:
        """Ends the suspicion of an instance."""
        self._since.pop(id, None)

    def timeout(self, peers: int) -> float:
        """Returns the seconds that a suspect has in a fleet of this size."""
        spread = DOUBLING_SECONDS * math.log2(max(2, peers))
        return (SUSPICION_SECONDS + spread) * (
            1 if self.few_suspects else MASS_FAILURE_FACTOR
        )

    def expired(self, clock: float, peers: int) -> list[str]:
        """Returns suspects whose time has passed."""
        if not self._since:
            return []
        start = clock - self.timeout(peers)
        return [id for id, since in self._since.items() if since <= start]
