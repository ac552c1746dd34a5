"""Token buckets of the customers that this VM leads."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from .._ports import Clock
from .._reports._section import Reporter
from ._admission_log import AdmissionLog
from ._lending import TAKEOVER_DELAY_S, Lending
from ._limits import QuotaLimits
from ._messages import TokenGrant, TokenRequest

_RETRY_AFTER_NO_LEADER_S = 0.5
_MAXIMUM_BUCKET_COUNT = 4096
_ROUNDING_TOLERANCE = 1e-9
# Longer than a request for tokens is repeated, or than a token is kept that is
# given back later.
_ANSWER_MEMORY_S = 60
# A bucket with at least this share of a limit can hold a whole token, however
# small the burst is. At most two VMs can have that much.
_WHOLE_TOKEN_MINIMUM_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class _Answer:
    """Latest answer to a VM.

    Parameters:
        start: number of the process that asked, see Reporter.
        grant: what it was answered.
        given_at: time of the answer.
    """

    start: int
    grant: TokenGrant
    given_at: float

    @property
    def order(self) -> tuple[int, int]:
        """Position among the requests of the VM."""
        return self.start, self.grant.number


@dataclass(slots=True)
class _Bucket:
    """Tokens of one customer.

    Parameters:
        tokens: tokens at the time of the latest check.
        checked_at: time of the latest check.
        share: share of the limit that was lent to this VM then.
        granted: requests granted in the latest window.
        answers: latest answer to each VM that has asked of late.
    """

    tokens: float
    checked_at: float
    share: float
    granted: AdmissionLog
    answers: dict[str, _Answer] = field(default_factory=dict)


class TokenLeader:
    """Grants tokens of the customers whose limits are lent to this VM.

    Each share fills the bucket at its part of the rate, and adds its part of
    the burst to the bucket's capacity. A share that has just been lent to this
    VM brings no tokens, since what was granted with it before is unknown.

    Parameters:
        lending: states which shares are lent to this VM.
    """

    def __init__(
        self, limits: QuotaLimits, lending: Lending, clock: Clock
    ) -> None:
        """Initialize without buckets."""
        self._limits = limits
        self._lending = lending
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        # Time of the latest removal of buckets.
        self._removed_at = -math.inf

    def grant(self, asker: Reporter, request: TokenRequest) -> TokenGrant:
        """Grant as many of the tokens asked for as there are.

        A repeated request gets the same answer. A copy of an earlier one gets
        nothing: its answer is no longer awaited. Returned tokens count only
        from a process whose previous answer is still known; otherwise a late
        copy of a request could return them again.
        """
        bucket = self._bucket(request.customer)
        self._forget_old_answers(bucket)
        latest = bucket.answers.get(asker.vm)
        order = (asker.start, request.number)
        if latest is not None and latest.order == order:
            return latest.grant
        if latest is not None and latest.order > order:
            return msgspec.structs.replace(
                latest.grant, number=request.number, granted=0
            )
        if latest is None or latest.start != asker.start:
            request = msgspec.structs.replace(request, returned=0)
        grant = self._decide(bucket, request)
        bucket.answers.pop(asker.vm, None)
        bucket.answers[asker.vm] = _Answer(
            asker.start, grant, self._clock.monotonic()
        )
        return grant

    def _forget_old_answers(self, bucket: _Bucket) -> None:
        """Forget the answers that are old; they are in order of their time."""
        oldest = self._clock.monotonic() - _ANSWER_MEMORY_S
        while bucket.answers:
            vm, answer = next(iter(bucket.answers.items()))
            if answer.given_at >= oldest:
                return
            bucket.answers.pop(vm)

    def _bucket(self, customer: str) -> _Bucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            if len(self._buckets) >= _MAXIMUM_BUCKET_COUNT:
                self._buckets.clear()
                self._removed_at = self._clock.monotonic()
            # The first refill adds what the shares have earned here since
            # the latest removal of buckets.
            log = AdmissionLog(self._limits.window_s)
            bucket = _Bucket(0, self._removed_at, 0, log)
            self._buckets[customer] = bucket
        return bucket

    def _decide(self, bucket: _Bucket, request: TokenRequest) -> TokenGrant:
        now = self._clock.monotonic()
        self._refill(bucket, request)
        granted = min(
            max(0, request.count), int(bucket.tokens + _ROUNDING_TOLERANCE)
        )
        bucket.tokens -= granted
        if granted:
            bucket.granted.add(now, granted)
        retry_after: float = 0
        if granted < request.count:
            retry_after = self._time_to_next_token(bucket, request)
        return TokenGrant(
            request.number,
            granted,
            retry_after,
            bucket.share,
            bucket.granted.count(now),
        )

    def _refill(self, bucket: _Bucket, request: TokenRequest) -> None:
        now = self._clock.monotonic()
        lender_share = 1 / max(1, self._lending.lender_count)
        usable = self._usable_since(request.customer)
        # Tokens beyond the capacity of the shares that were usable at the
        # latest check and ever since are those of shares that were withdrawn.
        kept = sum(since <= bucket.checked_at for since in usable)
        bucket.tokens = min(
            bucket.tokens, _capacity(request, kept * lender_share)
        )
        returned = min(max(0, request.returned), bucket.granted.count(now))
        bucket.granted.remove_oldest(returned)
        earned_s = sum(now - max(since, bucket.checked_at) for since in usable)
        bucket.tokens += returned + request.rate * lender_share * earned_s
        bucket.share = len(usable) * lender_share
        bucket.tokens = min(bucket.tokens, _capacity(request, bucket.share))
        bucket.checked_at = now

    def _usable_since(self, customer: str) -> list[float]:
        """Return since when each share of a customer can be used here.

        Another VM may use a share until its earlier loan has expired.
        """
        now = self._clock.monotonic()
        times = [
            since + TAKEOVER_DELAY_S
            for since in self._lending.lent_since(customer)
        ]
        return [since for since in times if since <= now]

    def _time_to_next_token(
        self, bucket: _Bucket, request: TokenRequest
    ) -> float:
        if not bucket.share:
            return _RETRY_AFTER_NO_LEADER_S
        missing = 1 - bucket.tokens
        wait = missing / (request.rate * bucket.share)
        return min(wait, self._limits.window_s)


def _capacity(request: TokenRequest, share: float) -> float:
    capacity = max(0, request.burst) * share
    if share >= _WHOLE_TOKEN_MINIMUM_SHARE:
        return max(1, capacity)
    return capacity
