"""Token buckets of client accounts; pure, times in seconds."""

import attrs


@attrs.define
class Bucket:
    """Tokens of one account.

    Attributes:
        rate: Tokens that are added each second.
        burst: Most tokens that are kept.
        tokens: Tokens at `updated`.
        updated: Time of the last change.
    """

    rate: float
    burst: float
    tokens: float
    updated: float

    def set_limit(self, now: float, rate: float, burst: float) -> None:
        """Takes new limits; tokens beyond the new burst are lost."""
        self.refill(now)
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, burst)

    def refill(self, now: float) -> None:
        """Adds what has come in since the last change."""
        passed = max(0.0, now - self.updated)
        self.tokens = min(self.burst, self.tokens + passed * self.rate)
        self.updated = max(self.updated, now)

    def charge(self, amount: float, most: float) -> None:
        """Takes tokens that were used already.

        Args:
            amount: Number of tokens.
            most: Largest debt that this may leave.
        """
        if amount > 0:
            self.tokens = max(min(self.tokens, -most), self.tokens - amount)

    def take(self, now: float, wanted: int) -> int:
        """Takes up to `wanted` whole tokens; returns how many."""
        self.refill(now)
        taken = max(0, min(wanted, int(self.tokens)))
        self.tokens -= taken
        return taken

    def wait(self, now: float) -> float:
        """Returns the seconds until the next token."""
        self.refill(now)
        if self.tokens >= 1 or self.rate <= 0:
            return 0.0
        return (1 - self.tokens) / self.rate
