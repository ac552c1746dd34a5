"""The decisions behind one answer, read as a tree."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path

import msgspec

from ._explain_answer import AnswerLine, describe_answer


class Candidate(msgspec.Struct):
    """A server that was considered, and the evidence on it."""

    server: str
    phase: str
    latency_ms: float


class DecisionLine(msgspec.Struct):
    """The members of a decision line that explain an answer."""

    event: str
    request_id: str = ''
    vm: str = ''
    snapshot: int = 0
    start: int = 0
    end: int = 0
    reason: str = ''
    server: str = ''
    candidates: list[Candidate] = msgspec.field(default_factory=list)


def explain_lines(request_id: str, logs: Iterable[Path]) -> Iterator[str]:
    """Yield the tree of a request: snapshots, ranges, attempts, evidence."""
    lines = list(_read(request_id, logs))
    if not lines:
        yield f'{request_id}: no decision line in these logs'
        return
    yield request_id
    for line in lines:
        if isinstance(line, AnswerLine):
            yield from describe_answer(line)
    yield from _describe_attempts(
        [one for one in lines if isinstance(one, DecisionLine)],
    )


def _describe_attempts(lines: Iterable[DecisionLine]) -> Iterator[str]:
    tree: dict[int, dict[tuple[int, int], list[DecisionLine]]] = {}
    for line in lines:
        ranges = tree.setdefault(line.snapshot, defaultdict(list))
        ranges[line.start, line.end].append(line)
    for snapshot, ranges in tree.items():
        yield f'  snapshot {snapshot}'
        for (start, end), attempts in sorted(ranges.items()):
            yield f'    keys {start} to {end}'
            yield from map(_describe, attempts)


def _describe(line: DecisionLine) -> str:
    evidence = ', '.join(map(_describe_candidate, line.candidates))
    return f'      {line.reason}: {line.server} of [{evidence}]'


def _describe_candidate(candidate: Candidate) -> str:
    latency = f'{candidate.latency_ms} ms'
    return f'{candidate.server} {candidate.phase} {latency}'


def _read(
    request_id: str,
    logs: Iterable[Path],
) -> Iterator[DecisionLine | AnswerLine]:
    wanted = request_id.encode()
    for path in logs:
        for text in path.read_bytes().splitlines():
            # A collector may have put its own words before the line.
            _, brace, rest = text.partition(b'{')
            if wanted in text and brace:
                line = _decode(brace + rest)
                if line is not None and line.request_id == request_id:
                    yield line


def _decode(text: bytes) -> DecisionLine | AnswerLine | None:
    for kind in (AnswerLine, DecisionLine):
        with suppress(msgspec.MsgspecError):
            return msgspec.json.decode(text, type=kind)
    return None
