"""Gateway processes, stand-ins and proxies of one soak."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess  # noqa: S404
import sys
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import curio

from daisydyke._adapters._http_client import HttpRequest
from daisydyke._domain._model import Address
from soak._customers import (
    CUSTOMERS,
    OPEN_PREFIX,
    QUOTA_EXCESS,
    QUOTA_SLACK,
    QUOTA_WINDOW_S,
    CustomerChecks,
)
from soak._layouts import SMALL, Layout
from soak._paced import HOST_NAME
from soak._proxy import FaultProxy
from soak._rollouts import (
    CONTACT_S,
    EXPOSURE_SHARE,
    EXPOSURE_SLACK,
    OLD_VERSION,
    ROLLBACK_S,
    TARGET_VERSION,
    Arrival,
    PlayedRollout,
)
from stand_ins.object_store import ObjectStoreStandIn
from stand_ins.platform_server import PlatformServerStandIn, RequestRun

DRAIN_LIMIT_S = 3.0
SETTLING_TIME_S = 4.0
CALLER_PORT = 8104
READY_PORT = 8108
DIRECTORY_PORT = 8100
_SERVER_PORT = 9000
_PROXY_PORT = 9500
_STORE_PORT = 8102
_INTERNAL_PORTS = (7380, 7395)
_OCTET_VALUES = 250
_LATENESS_TICK_S = 0.05
_LATENESS_TICKS = 60
# Of the smallest VM, and the share of it that a process may use.
_MEMORY_MB = 152
_USED_MEMORY_SHARE = 0.8
_HOSTILE_TIMEOUT_MS = 10000
# Causes of request_cut that are this process's own.
_CUT_CAUSES = ('closed', 'failed', 'stopped')


@dataclass
class Vm:
    """An entry VM with its process and its proxy to the object store.

    Parameters:
        settings_text: content of the settings file.
        source: see SoakCluster.
        disturbed_at: monotonic time of the start or end of the latest fault;
            time bounds hold again ``SETTLING_TIME_S`` later.
        failed_at: the same without planned stops and restarts, which excuse
            no lost answer.
        stop_at: monotonic time of the latest planned stop; 0 before the first.
        stopping: whether the process is shutting down, killed or paused.
        log_lines_at_start: lines in the log when the latest process was
            started.
        peak_mb: largest resident memory of its processes in MiB.
    """

    name: str
    host: str
    settings_path: Path
    log_path: Path
    store_proxy: FaultProxy
    settings_text: str = ''
    source: Path | None = None
    process: subprocess.Popen[bytes] | None = None
    disturbed_at: float = 0
    failed_at: float = 0
    stop_at: float = 0
    stopping: bool = False
    log_lines_at_start: int = 0
    peak_mb: float = 0

    def start(self) -> None:
        """Start the process with its proper settings."""
        self.settings_path.write_text(self.settings_text)
        self.log_lines_at_start = 0
        if self.log_path.exists():
            self.log_lines_at_start = len(
                self.log_path.read_bytes().splitlines(),
            )
        environment = dict(os.environ)
        if self.source is not None:
            environment['PYTHONPATH'] = str(self.source)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(  # noqa: S603
                [
                    sys.executable,
                    '-m',
                    'daisydyke._cli._gateway_main',
                    str(self.settings_path),
                ],
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.stopping = False

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def is_starting(self) -> bool:
        """Return whether the latest process has not started to listen yet.

        Until then a signal ends the process at once; no caller is affected.
        """
        lines = self.log_path.read_text(errors='replace').splitlines()
        start_events = [
            line
            for line in lines[self.log_lines_at_start :]
            if '"start"' in line
        ]
        return not start_events

    def mark_disturbed(self) -> None:
        """Record that the VM is affected by a fault now."""
        self.mark_restarted()
        self.failed_at = self.disturbed_at

    def mark_restarted(self) -> None:
        """Record that the VM starts again after a planned stop."""
        self.disturbed_at = time.monotonic()


@dataclass
class SoakCluster:
    """Gateway processes, stand-ins and proxies of one seed.

    Parameters:
        seed: seed of the soak; determines the loopback addresses.
        folder: folder of the settings and logs of the VMs.
        layout: size and load of the system.
        source: folder of the package that the VMs run; the installed one by
            default.
        runs: requests that the backend servers started to run.
        proxies: proxy in front of each backend server, by server identifier.
        versions: for each configuration, the monotonic time at which it was
            stored and the service that ``/move/`` is routed to.
        late_s: by how much the tasks of the soak itself ran late at most in
            the last seconds.
        shards: services that the newest configuration names as shards.
        draining_since: monotonic time at which the state ``draining`` was
            stored, by server identifier.
        violations: messages of the checks that failed.
        servers_disturbed_at: monotonic time of the latest fault of any
            backend server or of its connections.
        customers: checks on keys and limits.
        request_hosts: host of the VM to which each request was sent, by its
            identifier.
        store_disturbed_at: monotonic time of the latest fault of the store.
        rollout: what is seen of the roll-out; None before the order.
        target_servers: servers of the version that is rolled out.
    """

    seed: int
    folder: Path
    layout: Layout = SMALL
    source: Path | None = None
    store: ObjectStoreStandIn = field(default_factory=ObjectStoreStandIn)
    runs: list[RequestRun] = field(default_factory=list)
    servers: list[PlatformServerStandIn] = field(default_factory=list)
    proxies: dict[str, FaultProxy] = field(default_factory=dict)
    vms: list[Vm] = field(default_factory=list)
    versions: list[tuple[float, str]] = field(default_factory=list)
    draining_since: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    servers_disturbed_at: float = 0
    late_s: float = 0
    shards: tuple[str, ...] = ()
    customers: CustomerChecks = field(default_factory=CustomerChecks)
    request_hosts: dict[str, str] = field(default_factory=dict)
    store_disturbed_at: float = 0
    rollout: PlayedRollout | None = None
    target_servers: list[PlatformServerStandIn] = field(default_factory=list)

    def host(self, last_octet: int) -> str:
        """Return a loopback address that other seeds do not use."""
        second, third = divmod(self.seed, _OCTET_VALUES)
        return f'127.{second % _OCTET_VALUES + 1}.{third}.{last_octet}'

    async def start(self) -> None:
        """Start the stand-ins, proxies and VMs; does not wait for readiness."""
        await curio.spawn(self.measure_lateness, daemon=True)
        store = Address(self.host(1), _STORE_PORT)
        await self.store.start(store)
        shards = [name for names in self.layout.shard_sets for name in names]
        server_counts = dict.fromkeys(shards, 2) | self.layout.unsharded_servers
        for service, count in server_counts.items():
            for number in range(count):
                await self._add_server(service, number)
        self.configure('p0', self.layout.shard_sets[0])
        for number in range(self.layout.vm_count):
            await self._add_vm(number, store)

    async def start_server(
        self, server_id: str, service: str, number: int
    ) -> PlatformServerStandIn:
        """Start a server, which is not registered yet.

        Parameters:
            number: determines its ports and failure domain.
        """
        layout = self.layout
        server = PlatformServerStandIn(
            server_id,
            service,
            layout.domains[number % len(layout.domains)],
            Address(self.host(2), _SERVER_PORT + number),
            self.runs,
        )
        if service in layout.unsharded_servers:
            server.draw_service_time_s = layout.draw_service_time_s
        server.on_request = partial(self._check_received, server)
        await server.start()
        if not layout.planned_only:
            proxy = FaultProxy(
                Address(self.host(2), _PROXY_PORT + number),
                server.address,
            )
            await proxy.start()
            self.proxies[server.server_id] = proxy
        return server

    def configure(
        self, moved_to: str, shards: tuple[str, ...] | None = None
    ) -> None:
        """Store a new configuration.

        Parameters:
            moved_to: service that ``/move/`` is routed to.
            shards: services of ``/all/``; as before by default.
        """
        version = len(self.versions) + 1
        self.shards = shards or self.shards
        services = [
            {'name': name, 'max_connections': 60}
            for name in dict.fromkeys(server.service for server in self.servers)
        ]
        document = {
            'version': version,
            'routes': self._routes(moved_to),
            'services': services,
            'limits': {'idle_timeout_ms': self.layout.idle_timeout_ms},
        }
        if self.layout.has_keys:
            document['tenants'] = [entry.document() for entry in CUSTOMERS]
        self.store.put('config', 'main', document)
        self.versions.append((time.monotonic(), moved_to))

    def register(self, server: PlatformServerStandIn, state: str) -> None:
        """Store the registration of a server with the given state."""
        if server.stopped:
            return
        server_id = server.server_id
        proxy = self.proxies.get(server_id)
        address = server.address if proxy is None else proxy.listen
        registration = server.registration(address, state)
        self.store.put('servers', server_id, registration)

    def bounds_hold(self, vm: Vm, now: float) -> bool:
        """Return whether time bounds must hold at a VM.

        They do if the VM runs and its latest fault is more than
        ``SETTLING_TIME_S`` ago.

        Parameters:
            now: monotonic time to judge at.
        """
        return now - vm.disturbed_at > SETTLING_TIME_S and not vm.stopping

    def is_in_touch(self, request_id: str) -> bool:
        """Return whether the VM that took a request is in touch now.

        It is if it runs and neither it nor the store had a fault for
        ``CONTACT_S``.
        """
        host = self.request_hosts.get(request_id, '')
        since = time.monotonic() - CONTACT_S
        return any(
            vm.host == host and not vm.stopping and vm.disturbed_at < since
            for vm in self.vms
        )

    def undisturbed_since(self, vm: Vm, start: float) -> bool:
        """Return whether neither the VM nor any server had a fault.

        Parameters:
            start: monotonic time since which faults are considered.
        """
        return max(vm.failed_at, self.servers_disturbed_at) < start

    def mark_servers_disturbed(self) -> None:
        """Record a fault of servers or of their connections now."""
        self.servers_disturbed_at = time.monotonic()

    def report_violation(self, rule: str) -> None:
        """Record a failed check."""
        self.violations.append(rule)

    def report_lost(
        self, vm: Vm, request: HttpRequest, held_s: float, evidence: str
    ) -> None:
        """Record a request without an answer, with what tells its cause.

        Parameters:
            held_s: seconds for which it was open.
            evidence: what the caller saw.
        """
        now = time.monotonic()
        stop = f'{now - vm.stop_at:.2f} s after its stop' if vm.stop_at else ''
        request_id = request.headers['daisydyke-request-id']
        self.report_violation(
            f'LOST at {vm.name}: {request_id} {request.target}, '
            f'{held_s:.2f} s after it was sent, {stop} ({evidence}); '
            f'the soak ran up to {self.late_s:.2f} s late',
        )

    def check_draining(self, server: PlatformServerStandIn) -> None:
        """Check that a draining server runs no request after the time limit.

        The check is skipped if a VM had a fault after draining started or
        less than ``SETTLING_TIME_S`` before, since time bounds need not hold
        then.
        """
        limit = self.draining_since[server.server_id] + DRAIN_LIMIT_S
        if any(
            vm.disturbed_at > limit - DRAIN_LIMIT_S - SETTLING_TIME_S
            for vm in self.vms
        ):
            return
        late = [
            run
            for run in self.runs
            if run.server_id == server.server_id and run.started_at > limit
        ]
        if late:
            self.report_violation(
                f'DRAIN {server.server_id}: {len(late)} requests'
            )

    async def measure_lateness(self) -> None:
        """Keep ``late_s`` current until cancelled."""
        recent: deque[float] = deque(maxlen=_LATENESS_TICKS)
        while True:
            due = time.monotonic() + _LATENESS_TICK_S
            await curio.sleep(_LATENESS_TICK_S)
            recent.append(time.monotonic() - due)
            self.late_s = max(recent)

    def check_cuts(self) -> None:
        """Check that no VM reports that it left a request unanswered."""
        for vm in self.vms:
            log = vm.log_path.read_text(errors='replace')
            for cause in _CUT_CAUSES:
                pattern = rf'"request_cut".*"outcome": "{cause}"'
                for line in re.findall(pattern, log):
                    self.report_violation(f'CUT {vm.name}: {line}')

    def check_running(self) -> None:
        """Check that no process has ended by itself, once faults are over."""
        for vm in self.vms:
            exit_code = vm.process and vm.process.poll()
            if exit_code is not None:
                self.report_violation(f'ENDED {vm.name} with {exit_code}')

    def check_memory(self) -> None:
        """Check that no VM has used more memory than is promised."""
        if not self.layout.has_hostile:
            return
        for vm in self.vms:
            if vm.peak_mb > _USED_MEMORY_SHARE * _MEMORY_MB:
                self.report_violation(f'MEMORY {vm.name}: {vm.peak_mb:.0f} MB')

    def check_runs(self, not_run_ids: set[str]) -> None:
        """Check that no POST request ran twice or ran despite a refusal.

        Parameters:
            not_run_ids: identifiers of requests answered as not run.
        """
        run_counts = Counter(
            run.request_id for run in self.runs if run.method == 'POST'
        )
        for request_id, times in run_counts.items():
            if times > 1:
                self.report_violation(f'TWICE {request_id}')
            if request_id in not_run_ids:
                self.report_violation(f'REFUSED {request_id}, which ran')
        self.violations.extend(self.customers.errors)
        self.violations.extend(self.customers.run_errors(self.runs))
        if self.rollout is not None:
            self.violations.extend(self.rollout.errors())

    async def stop(self) -> None:
        """Kill the processes of all VMs and wait for their exit."""
        for vm in self.vms:
            vm.mark_disturbed()
            vm.send_signal(signal.SIGCONT)
            vm.send_signal(signal.SIGKILL)
        await curio.sleep(0.1)
        for vm in self.vms:
            if vm.process is not None:
                vm.process.wait()

    def _routes(self, moved_to: str) -> list[dict[str, object]]:
        shared: dict[str, object] = {
            'host': HOST_NAME,
            'timeout_ms': self.layout.timeout_ms,
            'target_latency_ms': 400,
            'route_type': 'idempotent',
            'max_attempts': 3,
        }
        gather = {
            'gather': list(self.shards),
            'top_k': 6,
            'min_shard_share': 0.5,
        }
        once = {
            'service': 'p0',
            'route_type': 'non_idempotent',
            'timeout_ms': self.layout.long_timeout_ms,
        }
        moved = {'service': moved_to}
        routes = [
            {**shared, **gather, 'name': 'all', 'path_prefix': '/all/'},
            {**shared, **once, 'name': 'one', 'path_prefix': '/one/'},
            {**shared, **moved, 'name': 'move', 'path_prefix': '/move/'},
        ]
        if self.layout.has_keys:
            unkeyed = {
                'service': 'p0',
                'auth_exempt': True,
                'name': 'open',
                'path_prefix': OPEN_PREFIX,
            }
            routes.append(shared | unkeyed)
        if self.layout.has_hostile:
            crowded = {
                'service': 'p1',
                'auth_exempt': True,
                'timeout_ms': _HOSTILE_TIMEOUT_MS,
            }
            routes.extend(
                {**shared, **crowded, 'name': name, 'path_prefix': f'/{name}/'}
                for name in ('long', 'short')
            )
        return routes

    async def _add_server(self, service: str, copy: int) -> None:
        number = len(self.servers)
        server = await self.start_server(f'i-{service}-{copy}', service, number)
        if self.layout.has_rollouts:
            server.version = OLD_VERSION
        self.servers.append(server)
        self.register(server, 'ready')

    def _check_received(
        self, server: PlatformServerStandIn, request: HttpRequest
    ) -> None:
        if self.layout.has_keys:
            self.customers.check_received(request)
        rollout = self.rollout
        request_id = request.headers.get('daisydyke-request-id', '')
        if rollout is not None and rollout.service == server.service:
            rollout.arrivals.append(
                Arrival(
                    time.monotonic(),
                    request_id,
                    server.version == TARGET_VERSION,
                    self.is_in_touch(request_id),
                    self.store_disturbed_at + CONTACT_S,
                )
            )

    async def _add_vm(self, number: int, store: Address) -> None:
        host = self.host(10 + number)
        proxy = FaultProxy(Address(host, _STORE_PORT), store)
        await proxy.start()
        name = f'vm-{number}'
        path = self.folder / f'{name}.json'
        settings = _settings(self.layout, name, host, number, proxy)
        log_path = self.folder / f'{name}.log'
        text = json.dumps(settings)
        vm = Vm(name, host, path, log_path, proxy, text, self.source)
        vm.mark_disturbed()
        vm.start()
        # Later processes are not those of the first start.
        vm.settings_text = json.dumps({**settings, 'bootstrap': False})
        self.vms.append(vm)


def _settings(
    layout: Layout,
    name: str,
    host: str,
    number: int,
    store: FaultProxy,
) -> dict[str, object]:
    settings: dict[str, object] = {
        'node_name': name,
        'ip': host,
        'zone': layout.domains[number % len(layout.domains)],
        'listen_addrs': {
            'front': f'{host}:{CALLER_PORT}',
            'readiness': f'{host}:{READY_PORT}',
            'directory': f'{host}:{DIRECTORY_PORT}',
        },
        'internal_ports': list(_INTERNAL_PORTS),
        'platform': {'address': str(store.listen)},
        'bootstrap': True,
        'bounds': {
            'grace_s': layout.grace_s,
            'retry_slack': 100,
            'ttl_max_s': 2,
        },
    }
    if layout.has_keys:
        settings['contracts'] = ['pool']
        settings['bounds'] |= {
            'quota_window_s': QUOTA_WINDOW_S,
            'quota_excess': QUOTA_EXCESS,
            'quota_slack': QUOTA_SLACK,
        }
    if layout.has_hostile:
        settings['limits'] = {'memory_mb': _MEMORY_MB}
    if layout.has_rollouts:
        settings['bounds'] |= {
            'exposure_share': EXPOSURE_SHARE,
            'exposure_slack': EXPOSURE_SLACK,
            'rollback_ms': ROLLBACK_S * 1000,
        }
    return settings
