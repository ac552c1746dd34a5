"""Callers of a soak and the checks that they make on responses."""

from __future__ import annotations

import heapq
import math
import random
import struct
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
from soak._customers import (
    OPEN_PREFIX,
    UNLIMITED,
    Credential,
    allows_status,
)
from soak._layouts import SMALL
from soak._paced import PacedConnection
from soak._world import (
    CALLER_PORT,
    DIRECTORY_PORT,
    SoakCluster,
    Vm,
)
from stand_ins.platform_server import RECORD_BYTES, response_body

# A caller waits for so long after the route's timeout.
_PATIENCE_S = 0.5
_MS_PER_S = 1000
_ADDRESS_TTL_S = 1.0
_CONFIG_LIMIT_S = 3.0
# A request whose connection ends later than this after it was sent was read.
_LOSS_SLACK_S = 0.2
# Share of the idle time-out up to which callers reuse a connection.
_USED_IDLE_SHARE = 0.8
# Closed by the peer only, in Linux's tcp_info.
_CLOSE_WAIT = 8
# State and number of segments without acknowledgement in it.
_TCP_INFO = struct.Struct('=B23xI')
# For a reset that is on its way when the end of the stream is read.
_RESET_S = 0.02
# Must match ``top_k`` and ``min_shard_share`` in ``soak._world``.
_TOP_K = 6
_MIN_SHARE = 0.5
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# On account of the caller's key or of its customer's limit.
_REFUSED_STATUSES = frozenset((401, 429))
# Paths of the routes in ``soak._world``.
_TARGETS = ('/all/x', '/one/x', '/move/x')
_KEYED_TARGETS = (*_TARGETS, f'{OPEN_PREFIX}x')
# A verdict on a version takes some answers on each route.
_BUSY_TARGETS = ('/one/x', '/move/x', f'{OPEN_PREFIX}x')
_BUSY_GAP_FACTOR = 0.5
_DENIED_STATUSES = frozenset((400, 403, 404))


class Caller:
    """Sends requests sequentially over a persistent connection.

    Every other caller stays with the gateway that it has once reached until
    that no longer accepts connections.

    Parameters:
        served: number of requests answered with status 200.
        sent: number of requests sent.
        not_run_ids: identifiers of requests answered with a status which
            promises that no server ran them.
    """

    def __init__(
        self,
        cluster: SoakCluster,
        number: int,
        seed: int,
        credential: Credential | None = None,
        *,
        is_busy: bool = False,
    ) -> None:
        """Initialize without gateway addresses.

        Parameters:
            number: prefix of the request identifiers of this caller.
            seed: seed of the caller's random draws.
            credential: the caller's key; by default one of a customer without
                a limit, if callers need keys.
            is_busy: whether it sends much more than others, for the service
                that is rolled out.
        """
        self._cluster = cluster
        self._number = number
        self._random = random.Random(seed)  # noqa: S311
        self._paces = random.Random(~seed)  # noqa: S311
        self._request_numbers = count(1)
        self._addresses: list[str] = []
        self._resolved_at: float = 0
        self._connection: PacedConnection | None = None
        self._connected_host = ''
        self._answered_at: float = 0
        self._stays = bool(number % 2)
        if credential is None and cluster.layout.has_keys:
            credential = UNLIMITED[number % len(UNLIMITED)]
        self._credential = credential
        self._targets = _KEYED_TARGETS if cluster.layout.has_keys else _TARGETS
        self._mean_gap_s = cluster.layout.mean_gap_s
        if is_busy:
            self._targets = _BUSY_TARGETS
            self._mean_gap_s *= _BUSY_GAP_FACTOR
        self.served = 0
        self.sent = 0
        self.not_run_ids: set[str] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self._send_request()
            gap_s = self._random.expovariate(1 / self._mean_gap_s)
            await curio.sleep(gap_s)

    async def _send_request(self) -> None:
        await self._refresh_addresses()
        if not self._addresses:
            return
        await self._leave_idle_connection()
        connection = self._connect()
        request = self._next_request()
        request_id = request.headers['daisydyke-request-id']
        self._cluster.request_hosts[request_id] = self._connected_host
        started = time.monotonic()
        self.sent += 1
        try:
            async with curio.timeout_after(
                self._deadline_s(request) + connection.draw_pause_s()
            ):
                response = await connection.request(request)
        except (DaisydykeError, curio.TaskTimeout) as error:
            ended_at = time.monotonic()
            read = await was_read(connection)
            await self._close_connection()
            if not connection.sent:
                self._connected_host = ''
            elif connection.sent_at < math.inf:
                self._check_lost_answer(
                    request,
                    connection.sent_at,
                    ended_at,
                    error,
                    read=read,
                    answers=connection.answers,
                )
            return
        self._answered_at = time.monotonic()
        self._check_response(request, response, started)
        if response.headers.get('connection') == 'close':
            await self._close_connection()

    async def _leave_idle_connection(self) -> None:
        """Close a connection that the VM may soon close as idle."""
        idle_s = time.monotonic() - self._answered_at
        limit_s = self._cluster.layout.idle_timeout_ms / _MS_PER_S
        if idle_s > limit_s * _USED_IDLE_SHARE:
            await self._close_connection()

    def _connect(self) -> PacedConnection:
        """Return the open connection, or a new one to a random address."""
        if self._connection is None:
            if not (self._stays and self._connected_host):
                address = self._random.choice(self._addresses)
                self._connected_host = address.partition(':')[0]
            self._connection = PacedConnection(
                Address(self._connected_host, CALLER_PORT), self._paces
            )
        return self._connection

    def _next_request(self) -> HttpRequest:
        target = self._random.choice(self._targets)
        number = next(self._request_numbers)
        request = HttpRequest(
            'POST' if target.startswith('/one/') else 'GET',
            target,
            b'',
            {'daisydyke-request-id': f'{self._number}-{number}'},
        )
        deadline_ms = int(self._deadline_s(request) * _MS_PER_S)
        request.headers['daisydyke-deadline-ms'] = str(deadline_ms)
        if self._credential is not None:
            self._cluster.customers.sign(request, self._credential, self._paces)
        return request

    async def _refresh_addresses(self) -> None:
        now = time.monotonic()
        if self._addresses and now - self._resolved_at < _ADDRESS_TTL_S:
            return
        vm = self._random.choice(self._cluster.vms)
        connection = HttpConnection(Address(vm.host, DIRECTORY_PORT))
        target = '/-/resolve?name=soak&zone=north'
        try:
            async with curio.timeout_after(1):
                response = await connection.request(HttpRequest('GET', target))
            self._addresses = msgspec.json.decode(response.body)['addrs']
            self._resolved_at = now
        except (DaisydykeError, curio.TaskTimeout, KeyError):
            # The VM is down or has no addresses; the next attempt asks a
            # random VM again.
            return
        finally:
            await connection.close()
        if not self._stays and not any(
            address.startswith(f'{self._connected_host}:')
            for address in self._addresses
        ):
            await self._close_connection()

    async def _close_connection(self) -> None:
        if self._connection is not None:
            await self._connection.close()
        self._connection = None

    def _connected_vm(self) -> Vm:
        return next(
            vm for vm in self._cluster.vms if vm.host == self._connected_host
        )

    def _check_lost_answer(
        self,
        request: HttpRequest,
        sent_at: float,
        ended_at: float,
        error: BaseException,
        *,
        read: bool,
        answers: int,
    ) -> None:
        """Check that the request was not read, or that a fault explains it.

        A request that the VM read or a server ran, or that was held for a
        while, must be answered if neither the VM nor any server was disturbed
        since its deadline before it was sent. What VMs report themselves is
        checked by ``SoakCluster.check_cuts``.

        Parameters:
            sent_at: monotonic time at which its last byte was sent.
            ended_at: monotonic time at which its connection ended.
            read: see ``was_read``.
            answers: number of answers on its connection before.
        """
        held_s = ended_at - sent_at
        timeout_s = self._deadline_s(request) - _PATIENCE_S
        if isinstance(error, curio.TaskTimeout) and held_s < timeout_s:
            # Connecting took the caller's time; the route's is not over yet.
            return
        vm = self._connected_vm()
        request_id = request.headers['daisydyke-request-id']
        executed = any(
            run.request_id == request_id for run in self._cluster.runs
        )
        undisturbed = self._cluster.undisturbed_since(
            vm, sent_at - self._deadline_s(request)
        )
        if undisturbed and (executed or read or held_s > _LOSS_SLACK_S):
            self._cluster.report_lost(
                vm,
                request,
                held_s,
                f'{error}; executed {executed}, read {read}, '
                f'after {answers} answers on the connection',
            )

    def _check_response(
        self,
        request: HttpRequest,
        response: HttpResponse,
        started: float,
    ) -> None:
        request_id = request.headers['daisydyke-request-id']
        self._check_status(request, response.status)
        if response.status in _NOT_RUN_STATUSES:
            self.not_run_ids.add(request_id)
            return
        if response.status in _DENIED_STATUSES:
            self._cluster.report_violation(
                f'DENIED {request.target}: {response.status}'
            )
            return
        if response.status != HTTPStatus.OK:
            return
        self.served += 1
        if request.target.startswith('/all/'):
            shard_sets = self._cluster.layout.shard_sets
            for error in merge_errors(request_id, response, shard_sets):
                self._cluster.report_violation(f'MIXED {request_id}: {error}')
            return
        service = response.headers.get('daisydyke-server-stamp', '')
        service = service.partition('.')[0]
        if response.body != response_body(service, request_id):
            self._cluster.report_violation(
                f'MIXED {request_id}: not the whole body'
            )
        if request.target.startswith('/move/'):
            self._check_version(service, started)

    def _check_status(self, request: HttpRequest, status: int) -> None:
        """Check a status against the caller's key and its customer's limit."""
        if not allows_status(status, self._credential, request.target):
            self._cluster.report_violation(f'DENIED {request.target}: {status}')
        if status in _REFUSED_STATUSES:
            request_id = request.headers['daisydyke-request-id']
            self._cluster.customers.refused_ids.add(request_id)

    def _check_version(self, service: str, started: float) -> None:
        """Check that a version that may be in force routes to a service.

        A version must be in force ``_CONFIG_LIMIT_S`` after it was stored.
        """
        cluster = self._cluster
        vm = self._connected_vm()
        if not cluster.bounds_hold(vm, started):
            return
        versions_due = [
            number
            for number, (acknowledged, _) in enumerate(cluster.versions)
            if acknowledged + _CONFIG_LIMIT_S < started
        ]
        newest = max(versions_due, default=0)
        allowed = {moved_to for _, moved_to in cluster.versions[newest:]}
        if service not in allowed:
            cluster.report_violation(
                f'CONFIG at {vm.name}: {service}, not {allowed}'
            )

    def _deadline_s(self, request: HttpRequest) -> float:
        layout = self._cluster.layout
        long = request.target.startswith('/one/')
        timeout_ms = layout.long_timeout_ms if long else layout.timeout_ms
        return timeout_ms / _MS_PER_S + _PATIENCE_S


async def was_read(connection: HttpConnection) -> bool:
    """Return whether the peer had read all that was sent when it closed.

    The kernel resets a connection that is closed with bytes unread, or that
    receives more afterwards. The reset may come after the end of the stream.
    """
    if not _is_closed_by_peer_only(connection):
        return False
    await curio.sleep(_RESET_S)
    return _is_closed_by_peer_only(connection)


def _is_closed_by_peer_only(connection: HttpConnection) -> bool:
    stream = connection._socket  # noqa: SLF001
    if stream is None:
        return False
    sockets = curio.socket
    state, unacknowledged = _TCP_INFO.unpack(
        stream.getsockopt(sockets.IPPROTO_TCP, sockets.TCP_INFO, _TCP_INFO.size)
    )
    return state == _CLOSE_WAIT and not unacknowledged


def merge_errors(
    request_id: str,
    response: HttpResponse,
    shard_sets: tuple[tuple[str, ...], ...] = SMALL.shard_sets,
) -> Iterator[str]:
    """Return the errors in a merged response.

    Parameters:
        request_id: identifier of the request; determines the expected body.
        shard_sets: sets of shards that configurations have named.
    """
    stamps = response.headers.get('daisydyke-part-stamps', '').split(', ')
    missing = int(response.headers.get('daisydyke-missing-parts', '0'))
    services = [stamp.partition('.')[0] for stamp in stamps]
    if stamps != [f'{service}.{request_id}' for service in services]:
        yield 'a stamp of another request'
    shards = max(
        shard_sets, key=lambda names: len(set(names).intersection(services))
    )
    if len(set(services).intersection(shards)) != len(services):
        yield f'shards {services}'
    if len(services) + missing != len(shards):
        yield f'{missing} said to be missing beside {services}'
    if len(services) < _MIN_SHARE * len(shards):
        yield 'too few parts'
    parts = b''.join(response_body(service, request_id) for service in services)
    records = [
        parts[start : start + RECORD_BYTES]
        for start in range(0, len(parts), RECORD_BYTES)
    ]
    if response.body != b''.join(heapq.nlargest(_TOP_K, records)):
        yield 'not the greatest records'
