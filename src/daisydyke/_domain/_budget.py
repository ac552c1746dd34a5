"""Budget for the hedges and retries of sub-requests to a service."""

from __future__ import annotations

_CAPACITY_TOKENS = 20
_RETRY_RESERVE_TOKENS = 10


class ExtraAttemptBudget:
    """Token bucket for hedges and retries of one service's sub-requests.

    First attempts add tokens; each hedge or retry costs one. Half of the
    capacity is reserved for retries: a refused retry lowers the coverage of
    the answer, a refused hedge only adds latency.

    Parameters:
        share: tokens added per first attempt.
    """

    def __init__(self, share: float) -> None:
        """Initialize with a full bucket, so that early failures are retried."""
        self._share = share
        self._tokens = float(_CAPACITY_TOKENS)

    def add_first_attempts(self, count: int) -> None:
        """Add the tokens earned by ``count`` first attempts."""
        self._tokens = min(_CAPACITY_TOKENS, self._tokens + count * self._share)

    @property
    def allows_hedge(self) -> bool:
        """Whether a token is available for a hedge."""
        return self._tokens >= _RETRY_RESERVE_TOKENS + 1

    def take_for_hedge(self) -> bool:
        """Take a token for a hedge; return whether one was available."""
        return self._take(_RETRY_RESERVE_TOKENS)

    def take_for_retry(self) -> bool:
        """Take a token for a retry; return whether one was available."""
        return self._take(0)

    def _take(self, reserve: float) -> bool:
        if self._tokens < reserve + 1:
            return False
        self._tokens -= 1
        return True
