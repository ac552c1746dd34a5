"""What became of a request at a gateway, read from its log lines."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec


class PartLine(msgspec.Struct):
    """One of the slowest or missing parts of an answer."""

    service: str
    servers: list[str] = msgspec.field(default_factory=list)
    elapsed_ms: float | None = None
    failure: str = ''


class AnswerLine(msgspec.Struct):
    """A gateway's line about one request."""

    request_id: str
    route: str
    configuration: int
    outcome: str
    elapsed_ms: float
    vm: str = ''
    timestamp: str = ''
    reason: str = ''
    missing: int = 0
    hedges: int = 0
    retries: int = 0
    hedge_after_ms: float | None = None
    slowest: list[PartLine] = msgspec.field(default_factory=list)


def describe_answer(line: AnswerLine) -> Iterator[str]:
    """Yield a request's outcome and the parts that decided it."""
    yield f'  {line.timestamp} {line.vm}: {_outcome(line)}'
    yield (
        f'    route {line.route}, configuration {line.configuration}, '
        f'{line.elapsed_ms} ms, {_hedges(line)}, {line.retries} retries'
    )
    yield from map(_describe_part, line.slowest)


def _hedges(line: AnswerLine) -> str:
    if line.hedge_after_ms is None:
        return 'never hedged'
    return f'{line.hedges} hedges after {line.hedge_after_ms} ms'


def _outcome(line: AnswerLine) -> str:
    words = [line.outcome]
    if line.reason:
        words.append(f'because of {line.reason}')
    if line.missing:
        words.append(f'without {line.missing} parts')
    return ' '.join(words)


def _describe_part(part: PartLine) -> str:
    tried = ', then '.join(part.servers) or 'no server'
    result = part.failure or f'{part.elapsed_ms} ms'
    return f'    {part.service}: {tried}: {result}'
