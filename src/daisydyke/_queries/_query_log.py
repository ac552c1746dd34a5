"""Decision log of a query's fan-out."""

from __future__ import annotations

from collections.abc import Sequence

from .._domain._choice import Candidate
from .._domain._model import RequestContext
from .._ports import DecisionLog
from ._progress import SegmentProgress

_MS_PER_S = 1000


class QueryLog:
    """Logs the routing decisions of one query with their evidence."""

    def __init__(self, log: DecisionLog, context: RequestContext) -> None:
        """Initialize a log for the query of ``context``."""
        self._log = log
        self._context = context

    def record_refused_hedge(self, progress: SegmentProgress) -> None:
        """Log that the budget allows no hedge, once for each segment."""
        if progress.hedge_refusal_logged:
            return
        progress.hedge_refusal_logged = True
        self._log.record(
            'hedge_refused',
            request_id=self._context.request_id,
            start=progress.segment.keys.start,
            end=progress.segment.keys.end,
        )

    def record_choice(
        self,
        progress: SegmentProgress,
        candidates: Sequence[Candidate],
        chosen: Candidate,
        reason: str,
    ) -> None:
        """Log the server chosen for an attempt.

        Parameters:
            candidates: all servers considered, ``chosen`` included.
            reason: kind of attempt: ``first``, ``hedge`` or ``retry``.
        """
        self._log.record(
            'route',
            request_id=self._context.request_id,
            snapshot=self._context.snapshot,
            start=progress.segment.keys.start,
            end=progress.segment.keys.end,
            reason=reason,
            server=chosen.server_id,
            candidates=[_to_log_fields(server) for server in candidates],
        )


def _to_log_fields(candidate: Candidate) -> dict[str, object]:
    return {
        'server': candidate.server_id,
        'phase': candidate.phase,
        'latency_ms': round(candidate.evidence.latency * _MS_PER_S, 2),
        'outstanding': candidate.evidence.outstanding,
    }
