"""Handlers of the HTTP ports for callers, health checks and scrapes."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import msgspec

from .._adapters._server_state import CutCause
from .._adapters._http_client import HttpRequest, HttpResponse
from .._domain._model import HeaderFields
from .._ports import Clock
from .._requests._model import (
    CallerAnswer,
    CallerRequest,
    Forwarded,
    Merged,
    NotRouted,
    RateLimited,
    Refused,
    Unanswered,
    Unauthorized,
)
from .._requests._service import RequestService
from . import _headers
from ._keys import read_key_digest

_MS_PER_S = 1000
# Request fields that this VM interprets or sets itself; not forwarded as is.
_REQUEST_CONTROL_FIELDS = frozenset(
    (
        _headers.DEADLINE_MS,
        _headers.REQUEST_ID,
        _headers.TARGET_INSTANCE,
    ),
)
# Request fields that state who the caller is.
_IDENTITY_FIELDS = frozenset((_headers.AUTHORIZATION, _headers.CUSTOMER_NAME))
# Response fields meant for the entry VM only; not returned to the caller.
_RESPONSE_CONTROL_FIELDS = frozenset(
    (
        _headers.INSTANCE_ID,
        _headers.NOT_EXECUTED,
        _headers.WARMUP_MS,
    ),
)


class _Addresses(msgspec.Struct):
    addrs: list[str]
    ttl_s: float


# Returns the addresses for callers in a failure domain, and the seconds for
# which callers may cache them.
AddressLookup = Callable[[str], tuple[list[str], float]]


class CallerHandler:
    """HTTP handler of the port that callers send requests to.

    Parameters:
        service: answers the decoded requests.
        clock: source of the time at which a request was received.
    """

    def __init__(self, service: RequestService, clock: Clock) -> None:
        """Initialize with the service that answers requests."""
        self._service = service
        self._clock = clock

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request; status 400 if it has no request id."""
        decoded = _decode_request(request, self._clock.monotonic())
        if decoded is None:
            return _error_response(HTTPStatus.BAD_REQUEST, 'request_id_missing')
        return _encode_answer(await self._service.handle(decoded))

    def refuse_for_memory(self, request: HttpRequest) -> HttpResponse:
        """Refuse a request for which memory is short; it is not run."""
        decoded = _decode_request(request, self._clock.monotonic())
        if decoded is None:
            return _error_response(HTTPStatus.BAD_REQUEST, 'request_id_missing')
        return _encode_answer(self._service.refuse_for_memory(decoded))

    def report_cut(
        self, request: HttpRequest, cause: CutCause, error: str
    ) -> None:
        """Record a request that got no whole answer."""
        self._service.record_cut(_request_id(request), cause.value, error)


class DirectoryHandler:
    """HTTP handler of callers' queries for entry VM addresses.

    Parameters:
        look_up: returns the addresses for callers in a failure domain.
    """

    def __init__(self, look_up: AddressLookup) -> None:
        """Initialize with the source of addresses."""
        self._look_up = look_up

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a query for addresses; status 503 if there are none."""
        split = urlsplit(request.target)
        if split.path != '/-/resolve':
            return _error_response(HTTPStatus.NOT_FOUND, 'unknown_path')
        query = parse_qs(split.query)
        domain = query.get('zone', [''])[0]
        addresses, ttl_s = self._look_up(domain)
        if not addresses:
            return _error_response(HTTPStatus.SERVICE_UNAVAILABLE, 'no_address')
        body = msgspec.json.encode(_Addresses(addresses, ttl_s))
        return HttpResponse(HTTPStatus.OK, body)


class ReadinessHandler:
    """HTTP handler of the platform's readiness checks.

    Parameters:
        is_ready: returns whether this process accepts requests.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Initialize with the source of the readiness state."""
        self._is_ready = is_ready

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a check with status 200 if ready, else 503."""
        if urlsplit(request.target).path != '/-/ready':
            return _error_response(HTTPStatus.NOT_FOUND, 'unknown_path')
        if self._is_ready():
            return HttpResponse(HTTPStatus.OK, b'{}')
        return _error_response(HTTPStatus.SERVICE_UNAVAILABLE, 'not_ready')


class MetricsHandler:
    """HTTP handler of metrics scrapes, in the Prometheus text format.

    Parameters:
        render: returns the current metrics in that format.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        """Initialize with the renderer of the metrics."""
        self._render = render

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a scrape."""
        if urlsplit(request.target).path != '/metrics':
            return _error_response(HTTPStatus.NOT_FOUND, 'unknown_path')
        return HttpResponse(
            HTTPStatus.OK,
            self._render(),
            content_type='text/plain; version=0.0.4',
        )


def _decode_request(request: HttpRequest, now: float) -> CallerRequest | None:
    request_id = _request_id(request)
    if not request_id:
        return None
    target = request.target.encode('latin-1')
    path = request.target.partition('?')[0]
    host = request.headers.get('host', '')
    fields = _end_to_end_fields(request.fields)
    return CallerRequest(
        request_id,
        request.method.encode(),
        host.partition(':')[0],
        path,
        target,
        tuple(field for field in fields if not _states_identity(field[0])),
        request.body,
        now,
        _parse_timeout_s(request.headers.get(_headers.DEADLINE_MS.decode())),
        request.round_trip,
        request.connecting,
        tuple(field for field in fields if _states_identity(field[0])),
        read_key_digest(request.fields),
    )


def _request_id(request: HttpRequest) -> str:
    return request.headers.get(_headers.REQUEST_ID.decode(), '')


def _end_to_end_fields(fields: HeaderFields) -> HeaderFields:
    connection_options = {
        token.strip().lower()
        for name, text in fields
        if name == b'connection'
        for token in text.split(b',')
    }
    dropped = _headers.HOP_BY_HOP | _REQUEST_CONTROL_FIELDS | connection_options
    return tuple(field for field in fields if field[0] not in dropped)


def _states_identity(name: bytes) -> bool:
    """Return whether a field states who the caller is, in any spelling.

    Some servers take an underscore in a name for a hyphen.
    """
    return name.replace(b'_', b'-') in _IDENTITY_FIELDS


def _parse_timeout_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return max(0, int(text)) / _MS_PER_S
    except (ValueError, OverflowError):
        return None


def _encode_answer(answer: CallerAnswer) -> HttpResponse:
    if isinstance(answer, Forwarded):
        reply = answer.reply
        return HttpResponse(
            reply.status,
            reply.body,
            fields=_fields_to_return(reply.fields),
            content_type=None,
        )
    if isinstance(answer, Merged):
        return _encode_merged(answer)
    if not isinstance(answer, Unanswered):
        return _encode_refusal(answer)
    status = HTTPStatus.BAD_GATEWAY
    if answer.timed_out:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return _error_response(status, answer.reason)


def _encode_refusal(
    answer: Refused | NotRouted | Unauthorized | RateLimited,
) -> HttpResponse:
    if isinstance(answer, NotRouted):
        return _error_response(HTTPStatus.NOT_FOUND, 'no_route')
    if isinstance(answer, Unauthorized):
        return _error_response(
            HTTPStatus.UNAUTHORIZED,
            answer.reason,
            ((_headers.AUTHENTICATE, b'Bearer'),),
        )
    if isinstance(answer, RateLimited):
        return _error_response(
            HTTPStatus.TOO_MANY_REQUESTS,
            'rate_limited',
            _retry_after_fields(answer.retry_after),
        )
    return _error_response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        answer.reason,
        _retry_after_fields(answer.retry_after),
    )


def _retry_after_fields(seconds: float) -> HeaderFields:
    return ((_headers.RETRY_AFTER, f'{seconds:.3f}'.encode()),)


def _fields_to_return(fields: HeaderFields) -> HeaderFields:
    dropped = _headers.HOP_BY_HOP | _RESPONSE_CONTROL_FIELDS
    return tuple(field for field in fields if field[0] not in dropped)


def _encode_merged(answer: Merged) -> HttpResponse:
    stamps = ', '.join(answer.stamps).encode('latin-1')
    return HttpResponse(
        HTTPStatus.OK,
        answer.records,
        fields=(
            (_headers.PART_STAMPS, stamps),
            (_headers.MISSING_PARTS, str(answer.missing).encode()),
        ),
        content_type='application/octet-stream',
    )


def _error_response(
    status: HTTPStatus,
    reason: str,
    fields: HeaderFields = (),
) -> HttpResponse:
    body = msgspec.json.encode({'error': reason})
    return HttpResponse(status, body, fields=fields)
