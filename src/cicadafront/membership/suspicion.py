"""Suspicion timeouts and the clock that they run on."""

import math

# Suspicions are piggybacked on probes, so the number of instances that hold one
# doubles about every 0.25 s. The timeout allows for the suspect to receive and
# refute the suspicion.
SUSPICION_SECONDS = 1.5
DOUBLING_SECONDS = 0.25
# More suspects than this indicate a partition or the loss of a rack.
# Refutations are then not broadcast, since that would exhaust the byte budget.
# They take longer, so the timeout is multiplied by the factor.
MASS_FAILURE_THRESHOLD = 3
MASS_FAILURE_FACTOR = 2.5
# Largest step of the clock per tick; ticks are 0.1 s apart.
MAX_STEP_SECONDS = 0.25
# Time without any received datagram after which this instance considers itself
# cut off. In a running fleet it receives about 4 datagrams per second. The
# limit is below the probe timeout (1 s), so that an instance that stops
# receiving marks no other as suspect.
ISOLATION_SECONDS = 0.9
# Time without any datagram after which the clock advances again, since the
# other instances may really have died.
ISOLATION_LIMIT_SECONDS = 10.0
# With fewer peers, missing datagrams are more likely due to failed peers.
MIN_PEERS = 3


class AwakeClock:
    """Clock that stops while this instance is paused or isolated.

    Attributes:
        time: Seconds that this instance was running and connected.
    """

    def __init__(self, now: float):
        self.time = 0.0
        self._last_tick = now
        self._last_received = now

    def datagram_received(self, now: float) -> None:
        """Records the time of a received datagram."""
        self._last_received = now

    def isolated(self, now: float, peers: int) -> bool:
        """Returns whether this instance appears to be cut off."""
        return (
            peers >= MIN_PEERS and now - self._last_received > ISOLATION_SECONDS
        )

    def tick(self, now: float, peers: int) -> None:
        """Advances the clock, unless this instance is cut off."""
        step = max(0.0, now - self._last_tick)
        self._last_tick = now
        if step > MAX_STEP_SECONDS:
            # No datagrams are read during a pause, so the pause does not count
            # as time without datagrams.
            self._last_received += step - MAX_STEP_SECONDS
        idle = now - self._last_received
        if self.isolated(now, peers) and idle < ISOLATION_LIMIT_SECONDS:
            return
        self.time += min(step, MAX_STEP_SECONDS)


class Suspicions:
    """Start times of suspicions, on the awake clock."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    @property
    def few_suspects(self) -> bool:
        """Whether the suspects are too few to indicate a mass failure."""
        return len(self._since) <= MASS_FAILURE_THRESHOLD

    def start(self, clock: float, id: str) -> None:
        """Starts the timeout of a suspect, unless it is running."""
        self._since.setdefault(id, clock)

    def cancel(self, id: str) -> None:
        """Ends the suspicion of an instance."""
        self._since.pop(id, None)

    def timeout(self, peers: int) -> float:
        """Returns the suspicion timeout in seconds for a number of peers."""
        spread = DOUBLING_SECONDS * math.log2(max(2, peers))
        return (SUSPICION_SECONDS + spread) * (
            1 if self.few_suspects else MASS_FAILURE_FACTOR
        )

    def expired(self, clock: float, peers: int) -> list[str]:
        """Returns the suspects whose timeout has passed."""
        if not self._since:
            return []
        start = clock - self.timeout(peers)
        return [id for id, since in self._since.items() if since <= start]
