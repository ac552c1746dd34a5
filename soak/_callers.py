"""Callers of a soak, and what they check in every answer."""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Iterator
from http import HTTPStatus
from itertools import count

import curio
import msgspec

from daisydyke._adapters._http_client import (
    HttpConnection,
    HttpRequest,
    HttpResponse,
)
from daisydyke._domain._model import Address
from daisydyke.exceptions import DaisydykeError
from soak._world import (
    CALLER_PORT,
    DIRECTORY_PORT,
    SHARDS,
    Vm,
    World,
)
from stand_ins.platform_server import RECORD_BYTES, part_of

_DEADLINE_S = 1.5
_DEADLINE_MS = '1500'
_KEEP_S = 1.0
_GAP_S = 0.05
_IN_FORCE_S = 3.0
_TOP = 6
_LEAST_PARTS = 2
_NOT_RUN = frozenset((408, 421, 429, 503))
_KINDS = ('/all/x', '/one/x', '/move/x')
_REFUSED_BY_US = frozenset((400, 401, 403, 404))


class Caller:
    """Sends requests one after the other and keeps its connections."""

    def __init__(self, world: World, number: int, seed: int) -> None:
        """Know no address yet."""
        self._world = world
        self._number = number
        self._random = random.Random(seed)  # noqa: S311
        self._requests = count(1)
        self._addresses: list[str] = []
        self._asked_at: float = 0
        self._connection: HttpConnection | None = None
        self._host = ''
        self.served = 0
        self.sent = 0
        self.promised: set[str] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self._ask()
            await curio.sleep(self._random.expovariate(1 / _GAP_S))

    async def _ask(self) -> None:
        await self._refresh()
        if not self._addresses:
            return
        connection = self._connect()
        request = self._next_request()
        started = time.monotonic()
        self.sent += 1
        try:
            async with curio.timeout_after(_DEADLINE_S):
                response = await connection.request(request)
        except (DaisydykeError, curio.TaskTimeout) as error:
            await self._drop()
            if connection.sent:
                self._check_lost(request, started, error)
            return
        self._check(request, response, started)
        if response.headers.get('connection') == 'close':
            await self._drop()

    def _connect(self) -> HttpConnection:
        """Return the kept connection, or a new one to any address."""
        if self._connection is None:
            chosen = self._random.choice(self._addresses)
            self._host = chosen.partition(':')[0]
            self._connection = HttpConnection(Address(self._host, CALLER_PORT))
        return self._connection

    def _next_request(self) -> HttpRequest:
        target = self._random.choice(_KINDS)
        number = next(self._requests)
        return HttpRequest(
            'POST' if target.startswith('/one/') else 'GET',
            target,
            b'',
            {
                'daisydyke-request-id': f'{self._number}-{number}',
                'daisydyke-deadline-ms': _DEADLINE_MS,
            },
        )

    async def _refresh(self) -> None:
        now = time.monotonic()
        if self._addresses and now - self._asked_at < _KEEP_S:
            return
        vm = self._random.choice(self._world.vms)
        connection = HttpConnection(Address(vm.host, DIRECTORY_PORT))
        target = '/-/resolve?name=soak&zone=north'
        try:
            async with curio.timeout_after(1):
                found = await connection.request(HttpRequest('GET', target))
            self._addresses = msgspec.json.decode(found.body)['addrs']
            self._asked_at = now
        except (DaisydykeError, curio.TaskTimeout, KeyError):
            # A VM that is down or knows no address: another one is asked.
            return
        finally:
            await connection.close()
        if not any(one.startswith(f'{self._host}:') for one in self._addresses):
            await self._drop()

    async def _drop(self) -> None:
        if self._connection is not None:
            await self._connection.close()
        self._connection = None

    def _vm(self) -> Vm:
        return next(vm for vm in self._world.vms if vm.host == self._host)

    def _check_lost(
        self,
        request: HttpRequest,
        started: float,
        error: Exception,
    ) -> None:
        """A request that reached a server is answered unless harm was done."""
        vm = self._vm()
        request_id = request.headers['daisydyke-request-id']
        ran = any(one.request_id == request_id for one in self._world.runs)
        calm = self._world.calm_since(vm, started - _DEADLINE_S)
        if ran and calm:
            self._world.violate(
                f'LOST at {vm.name}: {type(error).__name__} {error}',
            )

    def _check(
        self,
        request: HttpRequest,
        response: HttpResponse,
        started: float,
    ) -> None:
        request_id = request.headers['daisydyke-request-id']
        if response.status in _NOT_RUN:
            self.promised.add(request_id)
            return
        if response.status in _REFUSED_BY_US:
            self._world.violate(f'DENIED {request.target}: {response.status}')
            return
        if response.status != HTTPStatus.OK:
            return
        self.served += 1
        if request.target.startswith('/all/'):
            for fault in merge_faults(request_id, response):
                self._world.violate(f'MIXED {request_id}: {fault}')
            return
        service = response.headers.get('daisydyke-server-stamp', '')
        service = service.partition('.')[0]
        if response.body != part_of(service, request_id):
            self._world.violate(f'MIXED {request_id}: not the whole body')
        if request.target.startswith('/move/'):
            self._check_version(service, started)

    def _check_version(self, service: str, started: float) -> None:
        """A request goes where a version that may be in force sends it."""
        world = self._world
        vm = self._vm()
        if not world.in_touch(vm, started):
            return
        due = [
            number
            for number, (acknowledged, _) in enumerate(world.versions)
            if acknowledged + _IN_FORCE_S < started
        ]
        newest = max(due, default=0)
        allowed = {moved_to for _, moved_to in world.versions[newest:]}
        if service not in allowed:
            world.violate(f'CONFIG at {vm.name}: {service}, not {allowed}')


def merge_faults(request_id: str, response: HttpResponse) -> Iterator[str]:
    """Tell what is wrong with a merged answer."""
    stamps = response.headers.get('daisydyke-part-stamps', '').split(', ')
    missing = int(response.headers.get('daisydyke-missing-parts', '0'))
    services = [stamp.partition('.')[0] for stamp in stamps]
    if stamps != [f'{service}.{request_id}' for service in services]:
        yield 'a stamp of another request'
    known = set(services) & set(SHARDS)
    if len(known) != len(services):
        yield f'shards {services}'
    if len(services) + missing != len(SHARDS):
        yield f'{missing} said to be missing beside {services}'
    if len(services) < _LEAST_PARTS:
        yield 'too few parts'
    parts = b''.join(part_of(service, request_id) for service in services)
    records = [
        parts[start : start + RECORD_BYTES]
        for start in range(0, len(parts), RECORD_BYTES)
    ]
    if response.body != b''.join(heapq.nlargest(_TOP, records)):
        yield 'not the greatest records'
