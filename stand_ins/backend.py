"""Stand-in for backend servers: search, commit, state and faults."""

from __future__ import annotations

import random
from http import HTTPStatus
from pathlib import Path
from uuid import uuid4

import click
import curio
import msgspec

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpServer
from daisydyke._settings._documents import parse_address

_MAX_RUNTIME_S = 3600.0
_OVERLOAD_DURATION_S = 1.0
_CAPACITY_GROWTH_FACTOR = 2.0
_OVERLOAD_FACTOR = 3.0


class BackendSettings(msgspec.Struct):
    """Settings of one server.

    Parameters:
        indexes: key ranges served, by index version.
        service_ms: time that a request runs.
        distance_ms: one-way network latency, added twice to each request.
        slots: requests that the server may run at the same time; not
            enforced.
        slow_share: share of requests that take ``slow_factor`` times longer.
        cold_rate: capacity of a cold server in requests per second; 0 for no
            limit.
        seed: seed of the draws of slow requests.
    """

    address: str
    indexes: dict[int, list[tuple[int, int]]]
    service_ms: float = 6.0
    distance_ms: float = 1.0
    slots: int = 2
    slow_share: float = 0
    slow_factor: float = 20.0
    cold_rate: float = 0
    seed: int = 1


class SubRequestBody(msgspec.Struct):
    """Request body of a search or a commit."""

    request_id: str
    service: str
    snapshot: int
    start: int
    end: int
    deadline_ms: int
    parameters: msgspec.Raw


class RowBody(msgspec.Struct):
    """A row of synthetic rota data."""

    key: int
    bay: str
    snapshot: int


class AnswerBody(msgspec.Struct):
    """Rows of the requested key range."""

    request_id: str
    instance: str
    snapshot: int
    start: int
    end: int
    rows: list[RowBody]


class RefusalBody(msgspec.Struct):
    """Reason why a request was rejected without being run."""

    code: str
    instance: str


class StateBody(msgspec.Struct):
    """State of the server and the key ranges that it serves."""

    instance: str
    phase: str
    indexes: dict[int, list[tuple[int, int]]]


class StatsBody(msgspec.Struct):
    """Counters since the process started.

    Parameters:
        requests: requests run.
        refused: requests rejected.
        peak: highest number of requests running at the same time.
        fell_over: overloads after which all requests were rejected.
        commits: number of runs by idempotency key.
    """

    requests: int = 0
    refused: int = 0
    peak: int = 0
    fell_over: int = 0
    commits: dict[str, int] = msgspec.field(default_factory=dict)


class ControlBody(msgspec.Struct, omit_defaults=True):
    """Changes to a running server.

    Parameters:
        cold: resets the capacity to ``cold_rate``, or to 5 requests per
            second if that is 0.
    """

    indexes: dict[int, list[tuple[int, int]]] | None = None
    phase: str | None = None
    cold: bool = False
    slow_share: float | None = None


class BackendStandIn:
    """Request handler of one server, which warms up under load.

    Each second with requests multiplies the capacity of a cold server by
    ``_CAPACITY_GROWTH_FACTOR``. Load above ``_OVERLOAD_FACTOR`` times the
    capacity makes the server reject all requests for
    ``_OVERLOAD_DURATION_S`` and resets the capacity.
    """

    def __init__(self, settings: BackendSettings) -> None:
        """Initialize a new instance in phase ``serving``."""
        self._settings = settings
        self._instance = uuid4().hex[:12]
        self._phase = 'serving'
        self._running = 0
        self._stats = StatsBody()
        self._random = random.Random(settings.seed)
        self._capacity_per_s = settings.cold_rate
        self._window_start: float = 0
        self._window_count = 0
        self._overloaded_until: float = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of a gateway or of a test."""
        if request.target == '/v1/state':
            state = StateBody(
                self._instance,
                self._phase,
                self._settings.indexes,
            )
            return _ok(state)
        if request.target == '/stats':
            return _ok(self._stats)
        if request.target == '/control':
            return self._control(request)
        return await self._run(request)

    def _control(self, request: HttpRequest) -> HttpResponse:
        control = msgspec.json.decode(request.body, type=ControlBody)
        if control.indexes is not None:
            self._settings.indexes = control.indexes
        if control.phase is not None:
            self._phase = control.phase
        if control.slow_share is not None:
            self._settings.slow_share = control.slow_share
        if control.cold:
            self._capacity_per_s = self._settings.cold_rate or 5.0
        return _ok(self._stats)

    async def _run(self, request: HttpRequest) -> HttpResponse:
        body = msgspec.json.decode(request.body, type=SubRequestBody)
        refusal = await self._refusal(body)
        if refusal:
            self._stats.refused += 1
            return self._refuse(refusal)
        self._stats.requests += 1
        self._running += 1
        self._stats.peak = max(self._stats.peak, self._running)
        if request.target == '/v1/commit':
            key = request.headers.get('idempotency-key', '')
            self._stats.commits[key] = self._stats.commits.get(key, 0) + 1
        try:
            await curio.sleep(self._service_time())
        finally:
            self._running -= 1
        return _ok(self._answer(body))

    async def _refusal(self, body: SubRequestBody) -> str:
        if self._phase == 'draining':
            return 'draining'
        ranges = self._settings.indexes.get(body.snapshot)
        if ranges is None:
            return 'version_gone'
        if not any(
            start <= body.start and body.end <= end for start, end in ranges
        ):
            return 'range_not_served'
        if await self._overloaded():
            return 'overloaded'
        return ''

    async def _overloaded(self) -> bool:
        if not self._capacity_per_s:
            return False
        now = await curio.clock()
        if now < self._overloaded_until:
            return True
        if now - self._window_start >= 1:
            if self._window_count:
                self._capacity_per_s *= _CAPACITY_GROWTH_FACTOR
            self._window_start = now
            self._window_count = 0
        self._window_count += 1
        if self._window_count > self._capacity_per_s * _OVERLOAD_FACTOR:
            self._stats.fell_over += 1
            self._overloaded_until = now + _OVERLOAD_DURATION_S
            self._capacity_per_s = self._settings.cold_rate or 5.0
            return True
        return False

    def _service_time(self) -> float:
        settings = self._settings
        slow = self._random.random() < settings.slow_share
        factor = settings.slow_factor if slow else 1
        run_ms = settings.service_ms * factor
        return (run_ms + 2 * settings.distance_ms) / 1000

    def _answer(self, body: SubRequestBody) -> AnswerBody:
        rows = [RowBody(body.start, f'bay-{body.start}', body.snapshot)]
        return AnswerBody(
            body.request_id,
            self._instance,
            body.snapshot,
            body.start,
            body.end,
            rows,
        )

    def _refuse(self, code: str) -> HttpResponse:
        body = msgspec.json.encode(RefusalBody(code, self._instance))
        return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, body)


def _ok(body: msgspec.Struct) -> HttpResponse:
    return HttpResponse(HTTPStatus.OK, msgspec.json.encode(body))


async def run_backends(servers: list[BackendSettings]) -> None:
    """Serve all servers for at most an hour."""
    for settings in servers:
        server = HttpServer(
            BackendStandIn(settings).handle,
            cancel_on_disconnect=True,
        )
        await server.start(parse_address(settings.address))
    await curio.sleep(_MAX_RUNTIME_S)


@click.command()
@click.argument('settings_file', type=click.Path(path_type=Path))
def main(settings_file: Path) -> None:
    """Serve the servers in SETTINGS_FILE for at most an hour."""
    servers = msgspec.json.decode(
        settings_file.read_bytes(),
        type=list[BackendSettings],
    )
    curio.run(run_backends, servers)


if __name__ == '__main__':
    main()
