"""What an agent tells entries about the recent requests of its target."""

import attrs

# Weight of one request in the averages.
WEIGHT = 0.1
# Largest time that is reported, in milliseconds; the field has 16 bits.
MAX_SERVICE_MS = 65_535


@attrs.define(eq=False)
class RecentWork:
    """Averages over the recent requests of one target.

    Attributes:
        seconds: Usual time to the response head of good responses; 0 if there
            was none.
        failed: Fraction of requests that failed.
    """

    seconds: float = 0.0
    failed: float = 0.0

    def succeeded(self, seconds: float) -> None:
        """Records a good response and the seconds to its head."""
        if not self.seconds:
            self.seconds = seconds
        self.seconds += WEIGHT * (seconds - self.seconds)
        self.failed -= WEIGHT * self.failed

    def failed_once(self) -> None:
        """Records a server error or a lost connection.

        Its time is not recorded: a target that fails fast is not a fast one.
        """
        self.failed += WEIGHT * (1 - self.failed)

    def service_ms(self) -> int:
        """Returns the usual time in milliseconds; 0 if unknown."""
        return min(MAX_SERVICE_MS, round(1000 * self.seconds))

    def failed_percent(self) -> int:
        """Returns the percentage of requests that failed."""
        return round(100 * self.failed)
