"""Renders the logged decisions behind a response as a tree."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path

import msgspec

from .._decoding import DECODING_ERRORS
from ._explain_answer import (
    AnswerLine,
    CutLine,
    describe_answer,
    describe_cut,
)


class Candidate(msgspec.Struct):
    """Candidate server of an attempt, with its state at that time.

    Parameters:
        server: identifier of the server.
        phase: phase of the server, such as ``warm``.
        latency_ms: estimated latency of the server.
    """

    server: str
    phase: str
    latency_ms: float


class DecisionLine(msgspec.Struct):
    """Decision log line, reduced to the members that explain a response.

    Members that the logged event does not have keep their defaults.

    Parameters:
        snapshot: index version that the query uses.
        start: first key of the key range.
        end: end of the key range, exclusive.
        reason: why the attempt was made.
        server: identifier of the chosen server.
        candidates: servers that the choice was made from.
    """

    event: str
    request_id: str = ''
    vm: str = ''
    snapshot: int = 0
    start: int = 0
    end: int = 0
    reason: str = ''
    server: str = ''
    candidates: list[Candidate] = msgspec.field(default_factory=list)


Line = DecisionLine | AnswerLine | CutLine


def explain_lines(request_id: str, logs: Iterable[Path]) -> Iterator[str]:
    """Yield the lines of a request's tree.

    Its levels are snapshots, key ranges and attempts with their candidates.

    Parameters:
        request_id: identifier of the request.
        logs: log files of any number of VMs.
    """
    lines = list(_read_lines(request_id, logs))
    if not lines:
        yield f'{request_id}: no decision line in these logs'
        return
    yield request_id
    for line in lines:
        if isinstance(line, AnswerLine):
            yield from describe_answer(line)
        elif isinstance(line, CutLine):
            yield describe_cut(line)
    yield from _describe_attempts(
        [decision for decision in lines if isinstance(decision, DecisionLine)],
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
            yield from map(_describe_attempt, attempts)


def _describe_attempt(line: DecisionLine) -> str:
    candidates = ', '.join(map(_describe_candidate, line.candidates))
    return f'      {line.reason}: {line.server} of [{candidates}]'


def _describe_candidate(candidate: Candidate) -> str:
    latency = f'{candidate.latency_ms} ms'
    return f'{candidate.server} {candidate.phase} {latency}'


def _read_lines(
    request_id: str,
    logs: Iterable[Path],
) -> Iterator[Line]:
    encoded_id = request_id.encode()
    for path in logs:
        for raw_line in path.read_bytes().splitlines():
            # A log collector may have added a prefix to the line.
            _, brace, remainder = raw_line.partition(b'{')
            if encoded_id in raw_line and brace:
                line = _decode_line(brace + remainder)
                if line is not None and line.request_id == request_id:
                    yield line


def _decode_line(raw_line: bytes) -> Line | None:
    for line_type in (CutLine, AnswerLine, DecisionLine):
        with suppress(*DECODING_ERRORS):
            return msgspec.json.decode(raw_line, type=line_type)
    return None
