"""Time that a suspect has to refute, and the clock that measures it."""

# The suspicion and the refutation each spread by urgent broadcast within a
# few 100 ms; the rest covers lost datagrams.
SUSPICION_SECONDS = 2.5
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
        self._heard = now

    def heard(self, now: float) -> None:
        """Notes that a datagram arrived."""
        self._heard = now

    def isolated(self, now: float, peers: int) -> bool:
        """Returns whether this instance seems to be cut off."""
        return peers >= MIN_PEERS and now - self._heard > ISOLATION_SECONDS

    def tick(self, now: float, peers: int) -> None:
        """Advances the clock."""
        step = max(0.0, now - self._ticked)
        self._ticked = now
        if step > MAX_STEP_SECONDS:
            # The silence of the pause itself is no evidence of anything.
            self._heard += step - MAX_STEP_SECONDS
        silence = now - self._heard
        if self.isolated(now, peers) and silence < ISOLATION_LIMIT_SECONDS:
            return
        self.time += min(step, MAX_STEP_SECONDS)


class Suspicions:
    """Deadlines of suspects, on the awake clock."""

    def __init__(self) -> None:
        self._deadlines: dict[str, float] = {}

    def start(self, clock: float, id: str) -> None:
        """Starts the time of a suspect, unless it is running."""
        self._deadlines.setdefault(id, clock + SUSPICION_SECONDS)

    def cancel(self, id: str) -> None:
        """Ends the suspicion of an instance."""
        self._deadlines.pop(id, None)

    def expired(self, clock: float) -> list[str]:
        """Returns and forgets suspects whose time has passed."""
        ids = [id for id, end in self._deadlines.items() if end <= clock]
        for id in ids:
            del self._deadlines[id]
        return ids
