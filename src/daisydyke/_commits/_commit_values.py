"""Idempotency keys, bodies and results of non-idempotent requests."""

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

_KEY_PATTERN = re.compile(
    r'^([a-z0-9][a-z0-9-]{0,62})\.(\d{1,16})\.(\d{1,16})\.([\w-]{1,64})$',
    re.ASCII,
)
# Reasons for which a server refuses a request without running it.
_REFUSAL_REASONS = frozenset(
    (Failure.COLD, Failure.DRAINING, Failure.SHED, Failure.VERSION_GONE),
)


class CommitRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a non-idempotent request.

    Parameters:
        service: name of the service.
        key: key whose range selects the servers that may run the request.
        deadline_ms: milliseconds that the caller waits for the response.
        parameters: JSON text passed to the backend server.
    """

    service: str
    key: int
    deadline_ms: int
    parameters: msgspec.Raw = msgspec.Raw(b'{}')


class CommitBody(msgspec.Struct):
    """Body of the response to a non-idempotent request."""

    request_id: str
    outcome: str
    code: str | None = None
    detail: str | None = None
    rows: msgspec.Raw | None = None


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A parsed idempotency key.

    Parameters:
        executor: the only process that may execute the request.
        issued_ms: time at which the executor issued the prefix, in
            milliseconds of its monotonic clock.
    """

    executor: Holder
    issued_ms: int


def parse_key(text: str) -> IdempotencyKey:
    """Parse an idempotency key, ``vm.start.issued_ms.name``.

    Raises:
        BadRequestError: the text does not have the form of a key.
    """
    match = _KEY_PATTERN.match(text)
    if match is None:
        raise BadRequestError('idempotency-key: not made from a given prefix')
    executor = Holder(match.group(1), int(match.group(2)))
    return IdempotencyKey(executor, int(match.group(3)))


def render_error_response(
    request_id: str,
    outcome: Outcome,
    error: CallerError,
) -> HttpResponse:
    """Return the response that states an outcome and an error."""
    body = CommitBody(request_id, outcome, error.code, error.detail)
    status = error.status
    return HttpResponse(status, msgspec.json.encode(body))


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Result of a non-idempotent request or of one attempt at it.

    Parameters:
        server_id: server that the attempt addressed, empty if none.
        rows: JSON text of an array, if the request was answered.
        error: error to report, if the request was not answered.
        is_final: whether no further server may be tried.
    """

    outcome: Outcome
    server_id: str = ''
    rows: bytes | None = None
    error: CallerError | None = None
    is_final: bool = True

    def to_response(self, request_id: str) -> HttpResponse:
        """Return the response for the caller."""
        if self.error is not None:
            return render_error_response(request_id, self.outcome, self.error)
        rows = msgspec.Raw(self.rows or b'[]')
        body = CommitBody(request_id, self.outcome, rows=rows)
        return HttpResponse(HTTPStatus.OK, msgspec.json.encode(body))


def not_run_result(error: CallerError) -> CommitResult:
    """Return the result of a request that no server has received."""
    return CommitResult(Outcome.NOT_RUN, error=error)


def classify_result(server_id: str, sub_result: SubResult) -> CommitResult:
    """Classify the result of one attempt as answered, not run or unknown.

    A failed attempt of which nothing was sent is not final. Any other failure
    is final: the request has not run if the server refused it, otherwise the
    outcome is unknown.
    """
    if isinstance(sub_result, Success):
        rows = sub_result.unwrap().rows
        return CommitResult(Outcome.ANSWERED, server_id, rows=rows)
    failure = sub_result.failure()
    refusal = OverloadedError(f'refused: {failure.reason}')
    if not failure.sent:
        return CommitResult(
            Outcome.NOT_RUN,
            server_id,
            error=refusal,
            is_final=False,
        )
    if failure.reason in _REFUSAL_REASONS:
        return CommitResult(Outcome.NOT_RUN, server_id, error=refusal)
    unknown = OutcomeUnknownError(f'no response: {failure.reason}')
    return CommitResult(Outcome.UNKNOWN, server_id, error=unknown)
