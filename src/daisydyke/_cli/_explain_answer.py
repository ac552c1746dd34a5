"""Renders a gateway's log line about a request."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal

import msgspec


class PartLine(msgspec.Struct):
    """Sub-request to one service, among the slowest or missing ones.

    Parameters:
        servers: identifiers of the servers tried, in this order.
        elapsed_ms: time from the request's arrival to the sub-response.
        failure: reason why the sub-response is missing.
    """

    service: str
    servers: list[str] = msgspec.field(default_factory=list)
    elapsed_ms: float | None = None
    failure: str = ''


class AnswerLine(msgspec.Struct):
    """Logged outcome of one request at a gateway.

    Parameters:
        configuration: version of the configuration in force.
        elapsed_ms: time from the request's arrival to the response.
        vm: VM of the gateway.
        customer: customer on whose behalf the request was; may be empty.
        reason: reason why the request was refused or not answered.
        missing: number of missing sub-responses.
        hedges: number of hedges sent.
        retries: number of retries sent.
        hedge_after_ms: delay before a hedge; None if hedging is disabled.
        slowest: sub-requests that ended last.
    """

    request_id: str
    route: str
    configuration: int
    outcome: str
    elapsed_ms: float
    vm: str = ''
    timestamp: str = ''
    customer: str = ''
    reason: str = ''
    missing: int = 0
    hedges: int = 0
    retries: int = 0
    hedge_after_ms: float | None = None
    slowest: list[PartLine] = msgspec.field(default_factory=list)


class CutLine(msgspec.Struct):
    """Logged end of one request's connection without a whole answer.

    Parameters:
        outcome: why it ended.
        vm: VM of the gateway.
    """

    event: Literal['request_cut']
    request_id: str
    outcome: str
    vm: str = ''
    timestamp: str = ''


def describe_cut(line: CutLine) -> str:
    """Return a line with the cause why a request got no whole answer."""
    return f'  {line.timestamp} {line.vm}: no whole answer: {line.outcome}'


def describe_answer(line: AnswerLine) -> Iterator[str]:
    """Yield lines with a request's outcome and its slowest sub-requests."""
    yield f'  {line.timestamp} {line.vm}: {_format_outcome(line)}'
    yield (
        f'    route {line.route}, configuration {line.configuration}, '
        f'{line.elapsed_ms} ms, {_format_hedges(line)}, {line.retries} retries'
    )
    yield from map(_describe_part, line.slowest)


def _format_hedges(line: AnswerLine) -> str:
    if line.hedge_after_ms is None:
        return 'never hedged'
    return f'{line.hedges} hedges after {line.hedge_after_ms} ms'


def _format_outcome(line: AnswerLine) -> str:
    words = [line.outcome]
    if line.customer:
        words.append(f'for {line.customer}')
    if line.reason:
        words.append(f'because of {line.reason}')
    if line.missing:
        words.append(f'without {line.missing} parts')
    return ' '.join(words)


def _describe_part(part: PartLine) -> str:
    servers = ', then '.join(part.servers) or 'no server'
    outcome = part.failure or f'{part.elapsed_ms} ms'
    return f'    {part.service}: {servers}: {outcome}'
