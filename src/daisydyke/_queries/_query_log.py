"""Decision log of one query's fan-out."""

from __future__ import annotations

from collections.abc import Sequence

from .._domain._choice import Candidate
from .._domain._model import RequestContext
from .._ports import DecisionLog
from ._progress import Progress

_MS = 1000


class QueryLog:
    """Writes the choices of one query with what they rest on."""

    def __init__(self, log: DecisionLog, context: RequestContext) -> None:
        """Keep the query that the lines are about."""
        self._log = log
        self._context = context

    def record_refused_hedge(self, progress: Progress) -> None:
        """Note once for each segment that the budget allowed no hedge."""
        if progress.hedge_refused:
            return
        progress.hedge_refused = True
        self._log.record(
            'hedge_refused',
            request_id=self._context.request_id,
            start=progress.segment.keys.start,
            end=progress.segment.keys.end,
        )

    def record_choice(
        self,
        progress: Progress,
        candidates: Sequence[Candidate],
        chosen: Candidate,
        reason: str,
    ) -> None:
        """Note which server an attempt goes to and what was known."""
        self._log.record(
            'route',
            request_id=self._context.request_id,
            snapshot=self._context.snapshot,
            start=progress.segment.keys.start,
            end=progress.segment.keys.end,
            reason=reason,
            server=chosen.server_id,
            candidates=[_evidence_of(one) for one in candidates],
        )


def _evidence_of(candidate: Candidate) -> dict[str, object]:
    return {
        'server': candidate.server_id,
        'phase': candidate.phase,
        'latency_ms': round(candidate.evidence.latency * _MS, 2),
        'outstanding': candidate.evidence.outstanding,
    }
