"""HTTP as callers and the platform's checks speak it to an entry VM."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import msgspec

from .._adapters._http_client import HttpRequest, HttpResponse
from .._domain._model import HeaderFields
from .._ports import Clock
from .._requests._model import (
    CallerAnswer,
    CallerRequest,
    Forwarded,
    Merged,
    NotRouted,
    Refused,
)
from .._requests._service import RequestService
from . import _headers

_MS = 1000
_OWN_FIELDS = frozenset(
    (
        _headers.DEADLINE_MS,
        _headers.REQUEST_ID,
        _headers.TARGET_INSTANCE,
    ),
)
_SERVER_FIELDS = frozenset(
    (
        _headers.INSTANCE_ID,
        _headers.NOT_EXECUTED,
        _headers.WARMUP_MS,
    ),
)


class _Addresses(msgspec.Struct):
    addrs: list[str]
    ttl_s: float


# Returns the addresses for callers in a failure domain and the seconds for
# which they may keep them.
Directory = Callable[[str], tuple[list[str], float]]


class CallerHandler:
    """Translates requests and answers of the caller-facing port."""

    def __init__(self, service: RequestService, clock: Clock) -> None:
        """Keep the service that decides."""
        self._service = service
        self._clock = clock

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        decoded = _decode(request, self._clock.monotonic())
        if decoded is None:
            return _own(HTTPStatus.BAD_REQUEST, 'request_id_missing')
        return _encode(await self._service.handle(decoded))


class DirectoryHandler:
    """Tells callers which addresses to use."""

    def __init__(self, directory: Directory) -> None:
        """Keep what knows the addresses."""
        self._directory = directory

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one question."""
        split = urlsplit(request.target)
        if split.path != '/-/resolve':
            return _own(HTTPStatus.NOT_FOUND, 'unknown_path')
        query = parse_qs(split.query)
        domain = query.get('zone', [''])[0]
        addresses, keep = self._directory(domain)
        if not addresses:
            return _own(HTTPStatus.SERVICE_UNAVAILABLE, 'no_address')
        body = msgspec.json.encode(_Addresses(addresses, keep))
        return HttpResponse(HTTPStatus.OK, body)


class ReadinessHandler:
    """Tells the platform whether this process takes requests."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Keep what knows the answer."""
        self._is_ready = is_ready

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one check."""
        if urlsplit(request.target).path != '/-/ready':
            return _own(HTTPStatus.NOT_FOUND, 'unknown_path')
        if self._is_ready():
            return HttpResponse(HTTPStatus.OK, b'{}')
        return _own(HTTPStatus.SERVICE_UNAVAILABLE, 'not_ready')


class MetricsHandler:
    """Serves the daemon's series as text."""

    def __init__(self, render: Callable[[], bytes]) -> None:
        """Keep what renders them."""
        self._render = render

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one scrape."""
        if urlsplit(request.target).path != '/metrics':
            return _own(HTTPStatus.NOT_FOUND, 'unknown_path')
        return HttpResponse(
            HTTPStatus.OK,
            self._render(),
            content_type='text/plain; version=0.0.4',
        )


def _decode(request: HttpRequest, now: float) -> CallerRequest | None:
    request_id = request.headers.get(_headers.REQUEST_ID.decode(), '')
    if not request_id:
        return None
    target = request.target.encode('latin-1')
    path = request.target.partition('?')[0]
    host = request.headers.get('host', '')
    return CallerRequest(
        request_id,
        request.method.encode(),
        host.partition(':')[0],
        path,
        target,
        _forwarded(request.fields),
        request.body,
        now,
        _seconds(request.headers.get(_headers.DEADLINE_MS.decode())),
    )


def _forwarded(fields: HeaderFields) -> HeaderFields:
    nominated = {
        token.strip().lower()
        for name, text in fields
        if name == b'connection'
        for token in text.split(b',')
    }
    dropped = _headers.HOP_BY_HOP | _OWN_FIELDS | nominated
    return tuple(one for one in fields if one[0] not in dropped)


def _seconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return max(0, int(text)) / _MS
    except ValueError:
        return None


def _encode(answer: CallerAnswer) -> HttpResponse:
    if isinstance(answer, Forwarded):
        reply = answer.reply
        return HttpResponse(
            reply.status,
            reply.body,
            fields=_returned(reply.fields),
            content_type=None,
        )
    if isinstance(answer, Merged):
        return _encode_merged(answer)
    if isinstance(answer, NotRouted):
        return _own(HTTPStatus.NOT_FOUND, 'no_route')
    if isinstance(answer, Refused):
        return _own(
            HTTPStatus.SERVICE_UNAVAILABLE,
            answer.reason,
            ((_headers.RETRY_AFTER, f'{answer.retry_after:.3f}'.encode()),),
        )
    status = HTTPStatus.BAD_GATEWAY
    if answer.timed_out:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return _own(status, answer.reason)


def _returned(fields: HeaderFields) -> HeaderFields:
    dropped = _headers.HOP_BY_HOP | _SERVER_FIELDS
    return tuple(one for one in fields if one[0] not in dropped)


def _encode_merged(answer: Merged) -> HttpResponse:
    stamps = ', '.join(answer.stamps).encode()
    return HttpResponse(
        HTTPStatus.OK,
        answer.records,
        fields=(
            (_headers.PART_STAMPS, stamps),
            (_headers.MISSING_PARTS, str(answer.missing).encode()),
        ),
        content_type='application/octet-stream',
    )


def _own(
    status: HTTPStatus,
    reason: str,
    fields: HeaderFields = (),
) -> HttpResponse:
    body = msgspec.json.encode({'error': reason})
    return HttpResponse(status, body, fields=fields)
