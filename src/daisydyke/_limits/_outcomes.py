"""Outcomes of sub-requests that were not answered."""

from __future__ import annotations

from returns.result import Failure as Failed

from .._domain._model import Failure, SubFailure
from .._ports import SubResult


def is_unanswered(outcome: SubResult) -> bool:
    """Return whether the server may still be running a failed sub-request."""
    failure = outcome.failure()
    return failure.sent and failure.reason in {Failure.LATE, Failure.LOST}


def unsent_failure(reason: Failure) -> SubResult:
    """Return the outcome of a sub-request that was not sent."""
    return Failed(SubFailure(reason, sent=False))
