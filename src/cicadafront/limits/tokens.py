"""Token buckets of client accounts.

Buckets read no clock: callers pass the time in seconds.
"""

import attrs


@attrs.define
class Bucket:
    """Token bucket of one account.

    Attributes:
        rate: Refill rate in tokens per second.
        burst: Capacity.
        tokens: Tokens at time `updated`; negative after an overdraft.
        updated: Time of the last refill in seconds.
    """

    rate: float
    burst: float
    tokens: float
    updated: float

    def set_limit(self, now: float, rate: float, burst: float) -> None:
        """Sets a new rate and burst; discards tokens above the new burst."""
        self.refill(now)
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, burst)

    def refill(self, now: float) -> None:
        """Adds the tokens due since the last refill."""
        passed = max(0.0, now - self.updated)
        self.tokens = min(self.burst, self.tokens + passed * self.rate)
        self.updated = max(self.updated, now)

    def charge(self, amount: float, most: float) -> None:
        """Deducts tokens that have already been used.

        Args:
            amount: Number of tokens.
            most: Largest debt in tokens that the deduction may leave.
        """
        if amount > 0:
            self.tokens = max(min(self.tokens, -most), self.tokens - amount)

    def take(self, now: float, wanted: int) -> int:
        """Takes up to `wanted` whole tokens; returns the number taken."""
        self.refill(now)
        taken = max(0, min(wanted, int(self.tokens)))
        self.tokens -= taken
        return taken

    def wait(self, now: float) -> float:
        """Returns the seconds until a token is available."""
        self.refill(now)
        if self.tokens >= 1 or self.rate <= 0:
            return 0.0
        return (1 - self.tokens) / self.rate
