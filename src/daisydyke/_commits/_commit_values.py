"""Keys, bodies and verdicts of non-idempotent requests."""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
from returns.result import Success

from .._adapters._http_client import HttpResponse
from .._domain._model import Failure, Holder, Outcome
from .._ports import SubResult
from ..exceptions import (
    BadRequestError,
    CallerError,
    OutcomeUnknownError,
    OverloadedError,
)

_KEY = re.compile(
    r'^([a-z0-9][a-z0-9-]{0,62})\.(\d{1,16})\.(\d{1,16})\.([\w-]{1,64})$',
    re.ASCII,
)
_REFUSED_BY_SERVER = frozenset(
    (Failure.COLD, Failure.DRAINING, Failure.SHED, Failure.VERSION_GONE),
)


class CommitRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a non-idempotent request.

    Parameters:
        key: decides which range's servers run it.
        deadline_ms: time that the caller waits.
    """

    service: str
    key: int
    deadline_ms: int
    parameters: msgspec.Raw = msgspec.Raw(b'{}')


class CommitBody(msgspec.Struct):
    """Response to a non-idempotent request."""

    request_id: str
    outcome: str
    code: str | None = None
    detail: str | None = None
    rows: msgspec.Raw | None = None


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A parsed key.

    Parameters:
        executor: the process that may execute the request.
        issued_ms: the executor's monotonic clock when it was handed out.
    """

    executor: Holder
    issued_ms: int


def parse_key(text: str) -> IdempotencyKey:
    """Parse an idempotency key.

    Raises:
        BadRequestError: the text is not a key.
    """
    match = _KEY.match(text)
    if match is None:
        raise BadRequestError('idempotency-key: not made from a given prefix')
    executor = Holder(match.group(1), int(match.group(2)))
    return IdempotencyKey(executor, int(match.group(3)))


def render_error_response(
    request_id: str,
    outcome: Outcome,
    error: CallerError,
) -> HttpResponse:
    """Return the response for a request without rows."""
    body = CommitBody(request_id, outcome, error.code, error.detail)
    status = error.status
    return HttpResponse(status, msgspec.json.encode(body))


@dataclass(frozen=True, slots=True)
class Verdict:
    """What became of a request.

    Parameters:
        final: whether no other server may be tried.
    """

    outcome: Outcome
    server_id: str = ''
    rows: bytes | None = None
    error: CallerError | None = None
    final: bool = True

    def to_response(self, request_id: str) -> HttpResponse:
        """Return the response for the caller."""
        if self.error is not None:
            return render_error_response(request_id, self.outcome, self.error)
        rows = msgspec.Raw(self.rows or b'[]')
        body = CommitBody(request_id, self.outcome, rows=rows)
        return HttpResponse(HTTPStatus.OK, msgspec.json.encode(body))


def not_run(error: CallerError) -> Verdict:
    """Return the verdict on a request that has not been sent."""
    return Verdict(Outcome.NOT_RUN, error=error)


def judge(server_id: str, outcome: SubResult) -> Verdict:
    """Return the verdict on the result of one attempt."""
    if isinstance(outcome, Success):
        rows = outcome.unwrap().rows
        return Verdict(Outcome.ANSWERED, server_id, rows=rows)
    failure = outcome.failure()
    refused = OverloadedError(f'refused: {failure.reason}')
    if not failure.sent:
        return Verdict(
            Outcome.NOT_RUN,
            server_id,
            error=refused,
            final=False,
        )
    if failure.reason in _REFUSED_BY_SERVER:
        return Verdict(Outcome.NOT_RUN, server_id, error=refused)
    unknown = OutcomeUnknownError(f'no response: {failure.reason}')
    return Verdict(Outcome.UNKNOWN, server_id, error=unknown)
