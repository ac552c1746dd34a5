"""What customers' rate limits allow beyond rate and burst."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """Tolerance of the rate limits.

    In any window, a customer's requests on all VMs together may not exceed
    ``(rate * window_s + burst) * (1 + excess) + slack``.

    Parameters:
        window_s: length of the sliding window in seconds.
        excess: share by which the limit may be exceeded.
        slack: requests allowed in each window in addition to those.
    """

    window_s: float
    excess: float
    slack: float
