"""Sliding-window counter."""

import collections


class SlidingWindow:
    """Sums amounts over a sliding window.

    Amounts older than the window are dropped in steps of a tenth of the
    window.

    Args:
        seconds: Length of the window.
        now: Time in seconds at which counting starts.
    """

    STEPS = 10
    # Shortest time that the rate of a new counter is extrapolated from, as a
    # fraction of the window.
    MIN_ELAPSED_SHARE = 0.2

    def __init__(self, seconds: float, now: float):
        self._seconds = seconds
        self._started = now
        self._step = seconds / self.STEPS
        self._amounts: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    def add(self, now: float, amount: float = 1.0) -> None:
        """Adds an amount.

        Args:
            now: Time in seconds, not earlier than that of the last call.
            amount: Amount to add.
        """
        step = int(now / self._step)
        if self._amounts and self._amounts[-1][0] == step:
            amount += self._amounts.pop()[1]
        self._amounts.append((step, amount))

    def total(self, now: float) -> float:
        """Returns the sum over the window that ends now."""
        oldest = int(now / self._step) - self.STEPS
        while self._amounts and self._amounts[0][0] <= oldest:
            self._amounts.popleft()
        return sum(amount for _, amount in self._amounts)

    def projected(self, now: float) -> float:
        """Returns the sum, extrapolated to a whole window if counting is new.

        A process that restarts under traffic gets the same requests as the
        process that it replaces, so a partial window would understate them.
        """
        minimum = self.MIN_ELAPSED_SHARE * self._seconds
        counted = min(self._seconds, max(minimum, now - self._started))
        return self.total(now) * self._seconds / counted
