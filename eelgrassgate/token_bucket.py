"""A token bucket whose rate and capacity may change with each use."""

import msgspec


class TokenBucket(msgspec.Struct):
    """A token bucket: the tokens at the time of the last update.

    Attributes:
        tokens: Tokens left; negative if more were taken than there were.
        updated_at: Monotonic time in seconds.
    """

    tokens: float
    updated_at: float

    def refill(self, now: float, rate_per_s: float, capacity: float) -> None:
        """Add the tokens gained since the last update, up to `capacity`."""
        gained = (now - self.updated_at) * rate_per_s
        self.tokens = min(capacity, self.tokens + gained)
        self.updated_at = now
