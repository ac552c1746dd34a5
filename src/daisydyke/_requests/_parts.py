"""State of the parts of one request, and the limits on its time."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .._backends._connection import BackendConnection
from .._backends._exchange import Exchange
from .._backends._server import BackendServer
from ._model import FailureReason, Reply, Route
from ._records import RECORD_BYTES

_MAXIMUM_BODY_BYTES = 1 << 24
# A shard may return more records than the merged answer has.
_MINIMUM_PART_BYTES = 262144
_PART_SIZE_FACTOR = 16


@dataclass(slots=True, eq=False)
class Part:
    """State of the part of a request that one service handles.

    Parameters:
        position: index of the part in the request.
        open_exchanges: exchanges without an outcome yet.
        tried_servers: servers chosen for an attempt, in order.
        possible_runs: attempts that may have run on a server.
        refusals: attempts known not to have run.
        used_connections: connections of the attempts that have ended.
        error_reply: the latest unsuccessful reply of a server that did not
            report that the request had not run.
        failure_reason: why the latest attempt failed.
        answered_at: monotonic time of the successful reply; infinity before.
        finished: whether no further attempt will be made.
        first_exchange: exchange of the first attempt, once it is sent.
    """

    position: int
    service: str
    open_exchanges: list[Exchange] = field(default_factory=list)
    tried_servers: list[BackendServer] = field(default_factory=list)
    possible_runs: int = 0
    refusals: int = 0
    used_connections: list[BackendConnection] = field(default_factory=list)
    reply: Reply | None = None
    error_reply: Reply | None = None
    failure_reason: FailureReason = FailureReason.TIMEOUT
    answered_at: float = math.inf
    finished: bool = False
    first_exchange: Exchange | None = None


@dataclass(frozen=True, slots=True)
class Schedule:
    """Time limits of a dispatch.

    Parameters:
        deadline: monotonic time at which the dispatch ends in any case.
        partial_answer_at: monotonic time from which the dispatch ends once
            ``required_parts`` parts have been answered.
        required_parts: number of parts that a successful answer needs. The
            dispatch ends early if too many parts have failed to reach it.
        hedge_delay: seconds after which a part whose only exchange has no
            outcome is sent to another server; infinity disables hedging.
    """

    deadline: float
    partial_answer_at: float
    required_parts: int
    hedge_delay: float


def maximum_body(route: Route) -> int:
    """Return the largest useful body of a reply in bytes."""
    if not route.shards:
        return _MAXIMUM_BODY_BYTES
    useful = route.maximum_records * RECORD_BYTES
    return min(
        _MAXIMUM_BODY_BYTES,
        max(_MINIMUM_PART_BYTES, _PART_SIZE_FACTOR * useful),
    )


def failure_reason(reply: Reply) -> FailureReason:
    """Return why a reply without success was unsuccessful."""
    if reply.is_shed:
        return FailureReason.SHED
    if reply.not_run:
        return FailureReason.MISDIRECTED
    return FailureReason.ERROR
