"""Composition of answers from the replies of servers, and their summary."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable

from ._model import (
    CallerAnswer,
    CallerRequest,
    FailureReason,
    Forwarded,
    Merged,
    RateLimited,
    Refused,
    Route,
    Unanswered,
    Unauthorized,
)
from ._parts import Part, Schedule
from ._records import greatest_records

# Returns the seconds after which a refused caller should return, by the service
# and the reasons of the failure.
RetryAfter = Callable[[str, Collection[FailureReason]], float]
_ROUNDING_TOLERANCE = 1e-9
_MS_PER_S = 1000


def may_have_run(parts: Iterable[Part]) -> bool:
    """Return whether a server may have run some part of a request."""
    return any(part.possible_runs or part.reply for part in parts)


def hedge_after_ms(schedule: Schedule) -> float | None:
    """Return the delay before a hedge; None if hedging is disabled."""
    if math.isinf(schedule.hedge_delay):
        return None
    return round(schedule.hedge_delay * _MS_PER_S, 1)


def outcome_fields(answer: CallerAnswer) -> dict[str, object]:
    """Return the log fields that describe an answer."""
    if isinstance(answer, Merged):
        return {'missing': answer.missing}
    if isinstance(answer, Refused):
        return {'reason': answer.reason, 'retry_after_s': answer.retry_after}
    if isinstance(answer, RateLimited):
        return {'retry_after_s': answer.retry_after}
    if isinstance(answer, (Unanswered, Unauthorized)):
        return {'reason': answer.reason}
    return {}


def customer_fields(request: CallerRequest) -> dict[str, object]:
    """Return the log field with the customer, if there is one."""
    return {'customer': request.customer} if request.customer else {}


def answered_at(part: Part) -> float:
    """Return the time of the reply of a part, to sort by."""
    return part.answered_at


def summarize_part(part: Part, start: float) -> dict[str, object]:
    """Return the log fields that describe a part.

    Parameters:
        start: monotonic time at which the request arrived.
    """
    summary: dict[str, object] = {
        'service': part.service,
        'servers': [server.server_id for server in part.tried_servers],
    }
    if part.reply is None:
        summary['failure'] = part.failure_reason
    else:
        elapsed = part.answered_at - start
        summary['elapsed_ms'] = round(elapsed * _MS_PER_S, 1)
    return summary


def required_parts(route: Route) -> int:
    """Return the number of parts that a successful answer needs."""
    shards = len(route.shards)
    return max(
        1, math.ceil(route.minimum_shard_share * shards - _ROUNDING_TOLERANCE)
    )


def compose_answer(
    route: Route, parts: list[Part], retry_after: RetryAfter
) -> CallerAnswer:
    """Return the answer that the replies of the parts allow.

    Parameters:
        retry_after: returns after how many seconds a refused caller should
            return.
    """
    if route.shards:
        return _compose_merged(route, parts, retry_after)
    part = parts[0]
    if part.reply is not None:
        return Forwarded(part.reply)
    if (
        part.error_reply is not None
        and not part.error_reply.status_implies_not_run
    ):
        return Forwarded(part.error_reply)
    return _compose_failure(parts, retry_after)


def _compose_merged(
    route: Route, parts: list[Part], retry_after: RetryAfter
) -> CallerAnswer:
    replies = [part.reply for part in parts if part.reply is not None]
    if len(replies) < required_parts(route):
        return _compose_failure(parts, retry_after)
    return Merged(
        tuple(reply.stamp for reply in replies),
        len(parts) - len(replies),
        greatest_records(
            (reply.body for reply in replies), route.maximum_records
        ),
    )


def _compose_failure(
    parts: list[Part], retry_after: RetryAfter
) -> CallerAnswer:
    failed = [part for part in parts if part.finished and part.reply is None]
    reasons = {part.failure_reason for part in failed} or {
        FailureReason.TIMEOUT
    }
    reason = ','.join(sorted(reasons))
    if may_have_run(parts):
        timed_out = FailureReason.TIMEOUT in reasons
        return Unanswered(reason, timed_out)
    service = failed[0].service if failed else parts[0].service
    return Refused(reason, retry_after(service, reasons))
