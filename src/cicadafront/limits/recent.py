"""A count of what happened in the last seconds."""

import collections


class SlidingWindow:
    """Adds up amounts over a sliding window.

    Amounts older than the window count no more; they leave in steps of a
    tenth of the window.

    Args:
        seconds: Length of the window.
        now: Time at which counting begins.
    """

    STEPS = 10
    # Part of a window from which on the pace of a new count is believed.
    MIN_ELAPSED_SHARE = 0.2

    def __init__(self, seconds: float, now: float):
        self._seconds = seconds
        self._started = now
        self._step = seconds / self.STEPS
        self._amounts: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    def add(self, now: float, amount: float = 1.0) -> None:
        """Adds an amount at a time in seconds, not before the last one."""
        step = int(now / self._step)
        if self._amounts and self._amounts[-1][0] == step:
            amount += self._amounts.pop()[1]
        self._amounts.append((step, amount))

    def total(self, now: float) -> float:
        """Returns the sum of the window that ends now."""
        oldest = int(now / self._step) - self.STEPS
        while self._amounts and self._amounts[0][0] <= oldest:
            self._amounts.popleft()
        return sum(amount for _, amount in self._amounts)

    def projected(self, now: float) -> float:
        """Returns the sum of a whole window at the pace of a new count.

        A process that starts in the middle of traffic sees the same requests
        as the one before it.
        """
        minimum = self.MIN_ELAPSED_SHARE * self._seconds
        counted = min(self._seconds, max(minimum, now - self._started))
        return self.total(now) * self._seconds / counted
