"""Stand-in for a backend server that follows the platform's protocol."""

from __future__ import annotations

import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import curio

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpServer
from daisydyke._adapters._server_state import NoAnswerError
from daisydyke._domain._model import Address

_RECORD_COUNT = 4
RECORD_BYTES = 16
_SLOT_COUNT = 4
SERVICE_TIME_S = 0.01
# Answers below it are long: 4 MB.
LONG_PREFIX = '/long/'
_LONG_FACTOR = 62500
_NOT_EXECUTED = 'daisydyke-not-executed'


@dataclass(frozen=True)
class RequestRun:
    """A request that a server started to run.

    Parameters:
        started_at: monotonic time in seconds.
    """

    request_id: str
    method: str
    target: str
    server_id: str
    service: str
    started_at: float


@dataclass
class PlatformServerStandIn:
    """One instance of a backend server.

    Parameters:
        runs: record of the requests run; may be shared by several servers.
        service_time_s: seconds that a request runs.
        draw_service_time_s: draws these seconds for a request, given the
            seconds above; returns them unchanged by default.
        fails: requests run and are answered with status 500.
        loses: requests run, then the connection is closed unanswered.
        sheds: requests are rejected with status 503 without being run.
        running: number of requests that run at present.
        on_request: called with each request received.
        version: version of its software, registered unless empty.
        born: registered start time; later for a higher number.
        fail_share: share of the requests that run and are answered with
            status 500, since the version is bad.
        slow_factor: by how much a bad version takes longer.
        bad_answers: monotonic time in seconds of each answer that the version
            has made fail or slow; may be shared by several servers.
        stopped: the process has ended; requests are still noticed.
    """

    server_id: str
    service: str
    domain: str
    address: Address
    runs: list[RequestRun] = field(default_factory=list)
    service_time_s: float = SERVICE_TIME_S
    draw_service_time_s: Callable[[float], float] = float
    fails: bool = False
    loses: bool = False
    sheds: bool = False
    running: int = 0
    on_request: Callable[[HttpRequest], object] | None = None
    version: str = ''
    born: int = 1
    fail_share: float = 0
    slow_factor: float = 1
    bad_answers: list[float] = field(default_factory=list)
    stopped: bool = False

    async def start(self) -> None:
        """Start serving on the server's address."""
        server = HttpServer(self._handle, cancel_on_disconnect=True)
        await server.start(self.address)

    def registration(
        self, address: Address, state: str = 'ready'
    ) -> dict[str, object]:
        """Return the registration document of the server.

        Parameters:
            address: address under which the server is reached.
            state: registered state, such as ``ready`` or ``draining``.
        """
        entry: dict[str, object] = {
            'service': self.service,
            'address': str(address),
            'zone': self.domain,
            'capacity': _SLOT_COUNT,
            'state': state,
            'born': self.born,
        }
        if self.version:
            entry['version'] = self.version
        return entry

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if self.on_request is not None:
            self.on_request(request)
        request_id = request.headers.get('daisydyke-request-id', '')
        instance = request.headers.get('daisydyke-target-instance')
        if self.stopped:
            raise NoAnswerError('process has ended')
        if not request_id:
            return _not_executed(HTTPStatus.BAD_REQUEST)
        if instance not in {None, self.server_id}:
            return _not_executed(HTTPStatus.MISDIRECTED_REQUEST)
        if self.sheds or self.running >= 2 * _SLOT_COUNT:
            return _not_executed(HTTPStatus.SERVICE_UNAVAILABLE)
        self.runs.append(
            RequestRun(
                request_id,
                request.method,
                request.target,
                self.server_id,
                self.service,
                time.monotonic(),
            ),
        )
        self.running += 1
        try:
            seconds = self.draw_service_time_s(self.service_time_s)
            await curio.sleep(seconds * self.slow_factor)
        finally:
            self.running -= 1
        return self._answer(request_id, request.target)

    def _answer(self, request_id: str, target: str) -> HttpResponse:
        if self.loses or self.stopped:
            raise NoAnswerError('request ran; response dropped')
        status = HTTPStatus.OK
        is_bad = random.random() < self.fail_share  # noqa: S311
        if is_bad or self.slow_factor > 1:
            self.bad_answers.append(time.monotonic())
        if self.fails or is_bad:
            status = HTTPStatus.INTERNAL_SERVER_ERROR
        body = response_body(self.service, request_id)
        if target.startswith(LONG_PREFIX):
            body *= _LONG_FACTOR
        return HttpResponse(
            status,
            body,
            {
                'daisydyke-request-id': request_id,
                'daisydyke-server-stamp': f'{self.service}.{request_id}',
            },
        )


def response_body(service: str, request_id: str) -> bytes:
    """Return the body with which a service answers a request.

    It consists of records derived from the service and the request, so
    that a checker can compute the expected body.
    """
    return b''.join(
        hashlib.sha256(f'{service}/{request_id}/{number}'.encode()).digest()[
            :RECORD_BYTES
        ]
        for number in range(_RECORD_COUNT)
    )


def _not_executed(status: HTTPStatus) -> HttpResponse:
    return HttpResponse(status, b'', {_NOT_EXECUTED: '1'})
