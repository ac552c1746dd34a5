"""Stand-in for a backend server as the users' platform describes it."""

from __future__ import annotations

import hashlib
import time
from dataclasses import dataclass, field
from http import HTTPStatus

import curio

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpServer
from daisydyke._domain._model import Address

RECORDS = 4
RECORD_BYTES = 16
_SLOTS = 4
_NOT_EXECUTED = 'daisydyke-not-executed'


@dataclass(frozen=True)
class Run:
    """A request that a server began to work on, at a monotonic time."""

    request_id: str
    method: str
    target: str
    server_id: str
    service: str
    at: float


@dataclass
class PlatformServerStandIn:
    """One start of a server.

    Parameters:
        runs: takes every request that is run; shared by several servers.
        work: seconds of work for a request.
        fails: answers 500 instead of success.
        loses: runs a request and breaks off.
        sheds: rejects every request.
    """

    server_id: str
    service: str
    domain: str
    address: Address
    runs: list[Run] = field(default_factory=list)
    work: float = 0.01
    fails: bool = False
    loses: bool = False
    sheds: bool = False
    busy: int = 0

    async def start(self) -> None:
        """Begin to serve."""
        server = HttpServer(self._handle, cancel_on_disconnect=True)
        await server.start(self.address)

    def entry(
        self, address: Address, state: str = 'ready'
    ) -> dict[str, object]:
        """Return the registration, with the address that callers use."""
        return {
            'service': self.service,
            'address': str(address),
            'zone': self.domain,
            'capacity': _SLOTS,
            'state': state,
            'born': 1,
        }

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        request_id = request.headers.get('daisydyke-request-id', '')
        instance = request.headers.get('daisydyke-target-instance')
        if not request_id:
            return _not_run(HTTPStatus.BAD_REQUEST)
        if instance not in {None, self.server_id}:
            return _not_run(HTTPStatus.MISDIRECTED_REQUEST)
        if self.sheds or self.busy >= 2 * _SLOTS:
            return _not_run(HTTPStatus.SERVICE_UNAVAILABLE)
        self.runs.append(
            Run(
                request_id,
                request.method,
                request.target,
                self.server_id,
                self.service,
                time.monotonic(),
            ),
        )
        self.busy += 1
        try:
            await curio.sleep(self.work)
        finally:
            self.busy -= 1
        return self._answer(request_id)

    def _answer(self, request_id: str) -> HttpResponse:
        if self.loses:
            raise ConnectionResetError('the answer is lost')
        status = HTTPStatus.OK
        if self.fails:
            status = HTTPStatus.INTERNAL_SERVER_ERROR
        return HttpResponse(
            status,
            part_of(self.service, request_id),
            {
                'daisydyke-request-id': request_id,
                'daisydyke-server-stamp': f'{self.service}.{request_id}',
            },
        )


def part_of(service: str, request_id: str) -> bytes:
    """Return the body of a service's answer to a request."""
    return b''.join(
        hashlib.sha256(f'{service}/{request_id}/{number}'.encode()).digest()[
            :RECORD_BYTES
        ]
        for number in range(RECORDS)
    )


def _not_run(status: HTTPStatus) -> HttpResponse:
    return HttpResponse(status, b'', {_NOT_EXECUTED: '1'})
