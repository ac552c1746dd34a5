"""HTTP client for backend servers; see docs/INTERFACES.md."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

import curio
import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from .._decoding import DECODING_ERRORS
from .._domain._model import (
    Address,
    Failure,
    KeyRange,
    ServerPhase,
    ServerState,
    SubAnswer,
    SubFailure,
    SubRequest,
)
from .._ports import SubResult
from ..exceptions import (
    ConnectionLostError,
    DaisydykeError,
)
from ._http_client import HttpConnection, HttpRequest, HttpResponse

_RESPONSE_ERRORS = (DaisydykeError, *DECODING_ERRORS)
_STATE_ERRORS = (curio.TaskTimeout, *_RESPONSE_ERRORS)
_FAILURES_BY_CODE: Mapping[str, Failure] = MappingProxyType(
    {
        'cold': Failure.COLD,
        'draining': Failure.DRAINING,
        'overloaded': Failure.SHED,
        'range_not_served': Failure.VERSION_GONE,
        'version_gone': Failure.VERSION_GONE,
    }
)


class _RequestBody(msgspec.Struct):
    request_id: str
    service: str
    snapshot: int
    start: int
    end: int
    deadline_ms: int
    parameters: msgspec.Raw


class _AnswerBody(msgspec.Struct):
    request_id: str
    instance: str
    snapshot: int
    start: int
    end: int
    rows: msgspec.Raw


class _RefusalBody(msgspec.Struct):
    code: str


class _StateBody(msgspec.Struct):
    instance: str
    phase: str
    indexes: dict[int, list[tuple[int, int]]]


class HttpServerConnection:
    """Connection to one backend server.

    The socket is closed unless a whole response to the request arrives, so
    that a late response cannot be taken for that of a later request.

    Parameters:
        address: address of the server.
    """

    def __init__(self, address: Address) -> None:
        """Prepare a connection that is opened by the first request."""
        self._http = HttpConnection(address)

    async def run(self, request: SubRequest, timeout: float) -> SubResult:
        """Send a sub-request and read its whole response.

        Parameters:
            request: sub-request; one with an idempotency key is sent to the
                commit endpoint, any other to the search endpoint.
            timeout: longest time for the exchange, in seconds.

        Returns:
            The rows of the segment, or the reason of the failure and whether
            the server may have received the request.
        """
        message = _to_request(request, timeout)
        sent = False
        try:
            async with curio.timeout_after(timeout):
                response = await self._send(request, message)
            return _to_result(request, response)
        except curio.TaskTimeout:
            sent = self._http.sent
            await self.close()
            return Failed(SubFailure(Failure.LATE, sent))
        except _RESPONSE_ERRORS:
            sent = self._http.sent
            await self.close()
            return Failed(SubFailure(Failure.LOST, sent))
        except curio.CancelledError:
            await self.close()
            raise

    async def state(self, timeout: float) -> Result[ServerState, SubFailure]:
        """Read the phase and the index versions that the server reports.

        Parameters:
            timeout: longest time for the exchange, in seconds.

        Returns:
            The state; a failure with Failure.LOST if it cannot be read.
        """
        try:
            async with curio.timeout_after(timeout):
                response = await self._http.request(
                    HttpRequest('GET', '/v1/state'),
                )
            body = msgspec.json.decode(response.body, type=_StateBody)
        except _STATE_ERRORS:
            await self.close()
            return Failed(SubFailure(Failure.LOST, sent=False))
        return Success(_to_state(body))

    async def close(self) -> None:
        """Close the connection, which cancels a request in progress."""
        await self._http.close()

    async def _send(
        self,
        request: SubRequest,
        message: HttpRequest,
    ) -> HttpResponse:
        reused = self._http.reusable
        if request.context.idempotency_key:
            # Opens a new connection: if the server closed a reused one during
            # the send, the outcome of the request would be unknown.
            await self._http.connect()
        try:
            return await self._http.request(message)
        except ConnectionLostError:
            if not reused or request.context.idempotency_key:
                raise
        await self._http.close()
        return await self._http.request(message)


def _to_request(request: SubRequest, timeout: float) -> HttpRequest:
    context = request.context
    body = _RequestBody(
        context.request_id,
        context.service,
        context.snapshot,
        request.keys.start,
        request.keys.end,
        int(timeout * 1000),
        msgspec.Raw(context.parameters),
    )
    headers = {'x-request-id': context.request_id}
    path = '/v1/search'
    if context.idempotency_key:
        headers['idempotency-key'] = context.idempotency_key
        path = '/v1/commit'
    return HttpRequest('POST', path, msgspec.json.encode(body), headers)


def _to_result(request: SubRequest, response: HttpResponse) -> SubResult:
    if response.status != HTTPStatus.OK:
        refusal = msgspec.json.decode(response.body, type=_RefusalBody)
        reason = _FAILURES_BY_CODE.get(refusal.code, Failure.LOST)
        return Failed(SubFailure(reason, sent=True))
    answer = msgspec.json.decode(response.body, type=_AnswerBody)
    if not _echoes_request(request, answer):
        raise ConnectionLostError('response belongs to another request')
    return Success(SubAnswer(bytes(answer.rows), answer.instance))


def _echoes_request(request: SubRequest, answer: _AnswerBody) -> bool:
    return (
        answer.request_id == request.context.request_id
        and answer.snapshot == request.context.snapshot
        and answer.start == request.keys.start
        and answer.end == request.keys.end
    )


def _to_state(body: _StateBody) -> ServerState:
    phase = {
        'draining': ServerPhase.DRAINING,
        'cold': ServerPhase.COLD,
    }.get(body.phase, ServerPhase.WARM)
    indexes = {
        version: tuple(KeyRange(start, end) for start, end in ranges)
        for version, ranges in body.indexes.items()
    }
    return ServerState(body.instance, phase, indexes)
