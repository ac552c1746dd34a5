"""Messages between VMs about customers' rate limits, as MessagePack."""

from __future__ import annotations

from typing import Annotated

import msgspec


class Loan(msgspec.Struct, array_like=True, frozen=True):
    """States which lenders the sender hears, and so to whom it lends.

    Parameters:
        sent_s: time at the sender's monotonic clock.
        lenders: digest of the names of all lenders that the sender knows.
        lenders_since_s: time since which all its loans had that digest.
        unheard: lenders from which the sender has no valid loan, itself if it
            is leaving, each with the time since which all its loans say so.
    """

    sent_s: float
    lenders: int
    lenders_since_s: float
    unheard: dict[str, float]


class ClockRequest(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Asks a lender for the time of its clock.

    Parameters:
        asked_s: time at the sender's monotonic clock.
    """

    asked_s: float


class ClockAnswer(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Answers the ClockRequest with the same time.

    Parameters:
        clock_s: time at the monotonic clock of the VM that answers.
    """

    asked_s: float
    clock_s: float


class TokenRequest(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Asks the leader of a customer for tokens.

    Parameters:
        number: increases with each request of a process; repeats of a request
            have the same number.
        count: tokens wanted.
        rate: the customer's requests per second; above 0.
        burst: requests in addition to those of the rate.
        returned: tokens granted before, for requests that have not run.
    """

    number: int
    customer: str
    count: int
    rate: Annotated[float, msgspec.Meta(gt=0)]
    burst: float
    returned: int = 0


class TokenGrant(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Answers the TokenRequest with the same number.

    Parameters:
        granted: tokens granted.
        retry_after_s: seconds until the next token; 0 if all were granted.
        share: share of the customer's limit that the sender has; with none
            it grants nothing.
        used: requests granted in the latest window.
    """

    number: int
    granted: int
    retry_after_s: float
    share: float
    used: int
