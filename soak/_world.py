"""The processes, stand-ins and proxies of one soak."""

from __future__ import annotations

import json
import signal
import subprocess  # noqa: S404
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import curio

from daisydyke._domain._model import Address
from soak._proxy import Proxy
from stand_ins.object_store import ObjectStoreStandIn
from stand_ins.platform_server import PlatformServerStandIn, Run

SHARDS = ('s0', 's1', 's2', 's3')
PLAIN = ('p0', 'p1')
DOMAINS = ('north', 'south')
VMS = 4
GRACE_S = 3.0
DRAIN_S = 3.0
CONTACT_S = 4.0
CALLER_PORT = 8104
READY_PORT = 8108
DIRECTORY_PORT = 8100
_SERVER_PORT = 9000
_PROXY_PORT = 9500
_STORE_PORT = 8102
_INTERNAL_PORTS = (7380, 7395)
_TIMEOUT_MS = 1000
_HOSTS = 250


@dataclass
class Vm:
    """An entry VM: its host, its process and its path to the store.

    Parameters:
        touched_at: monotonic time until which it was harmed; its bounds hold
            again some seconds later.
        logged: lines in its log when the latest process was started.
    """

    name: str
    host: str
    settings: Path
    log: Path
    store: Proxy
    process: subprocess.Popen[bytes] | None = None
    touched_at: float = 0
    stopping: bool = False
    logged: int = 0

    def start(self) -> None:
        """Start the process."""
        self.logged = 0
        if self.log.exists():
            self.logged = len(self.log.read_bytes().splitlines())
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(  # noqa: S603
                [
                    sys.executable,
                    '-m',
                    'daisydyke._cli._gateway_main',
                    str(self.settings),
                ],
                stdout=log,
                stderr=log,
            )
        self.stopping = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, by its id."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_starting(self) -> bool:
        """Tell whether the latest process has not begun to listen.

        Until then a signal ends it at once, which harms nobody.
        """
        lines = self.log.read_text(errors='replace').splitlines()
        events = [line for line in lines[self.logged :] if '"start"' in line]
        return not events

    def touch(self) -> None:
        """Note that the VM is harmed now."""
        self.touched_at = time.monotonic()


@dataclass
class World:
    """Everything that one seed runs.

    Parameters:
        versions: configurations and the monotonic time of each one's
            acknowledgement, with the service that ``/move/`` goes to.
        drained: when each server's draining was acknowledged.
    """

    number: int
    folder: Path
    store: ObjectStoreStandIn = field(default_factory=ObjectStoreStandIn)
    runs: list[Run] = field(default_factory=list)
    servers: list[PlatformServerStandIn] = field(default_factory=list)
    proxies: dict[str, Proxy] = field(default_factory=dict)
    vms: list[Vm] = field(default_factory=list)
    versions: list[tuple[float, str]] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    servers_harmed_at: float = 0

    def host(self, last: int) -> str:
        """Return a loopback host of this seed's own."""
        second, third = divmod(self.number, _HOSTS)
        return f'127.{second % _HOSTS + 1}.{third}.{last}'

    async def start(self) -> None:
        """Start all parts; the VMs get ready on their own."""
        store = Address(self.host(1), _STORE_PORT)
        await self.store.start(store)
        for service in (*SHARDS, *PLAIN):
            for domain in DOMAINS:
                await self._add_server(service, domain)
        self.configure('p0')
        for number in range(VMS):
            await self._add_vm(number, store)

    def configure(self, moved_to: str) -> None:
        """Put a configuration into force."""
        version = len(self.versions) + 1
        routes = [
            route
            for number in range(VMS)
            for route in _routes(self.host(10 + number), moved_to)
        ]
        services = [
            {'name': name, 'max_connections': 60} for name in (*SHARDS, *PLAIN)
        ]
        document = {'version': version, 'routes': routes, 'services': services}
        self.store.put('config', 'main', document)
        self.versions.append((time.monotonic(), moved_to))

    def register(self, server: PlatformServerStandIn, state: str) -> None:
        """Write a server's registration."""
        server_id = server.server_id
        entry = server.entry(self.proxies[server_id].listen, state)
        self.store.put('servers', server_id, entry)

    def in_touch(self, vm: Vm, now: float) -> bool:
        """Tell whether the bounds hold at a VM."""
        return now - vm.touched_at > CONTACT_S and not vm.stopping

    def calm_since(self, vm: Vm, start: float) -> bool:
        """Tell whether neither a VM nor any server was harmed since then."""
        return max(vm.touched_at, self.servers_harmed_at) < start

    def harm_servers(self) -> None:
        """Note that servers, or the way to them, are harmed now."""
        self.servers_harmed_at = time.monotonic()

    def violate(self, rule: str) -> None:
        """Note a broken promise."""
        self.violations.append(rule)

    def check_drained(self, server: PlatformServerStandIn) -> None:
        """A server that drains gets nothing once that is due."""
        due = self.drained[server.server_id] + DRAIN_S
        if any(vm.touched_at > due - DRAIN_S - CONTACT_S for vm in self.vms):
            return
        late = [
            one
            for one in self.runs
            if one.server_id == server.server_id and one.at > due
        ]
        if late:
            self.violate(f'DRAIN {server.server_id}: {len(late)} requests')

    def check_runs(self, promised: set[str]) -> None:
        """Check at the end what callers were promised."""
        ran = Counter(
            one.request_id for one in self.runs if one.method == 'POST'
        )
        for request_id, times in ran.items():
            if times > 1:
                self.violate(f'TWICE {request_id}')
            if request_id in promised:
                self.violate(f'REFUSED {request_id}, which ran')

    async def stop(self) -> None:
        """End every process that this world started."""
        for vm in self.vms:
            vm.touch()
            vm.send(signal.SIGCONT)
            vm.send(signal.SIGKILL)
        await curio.sleep(0.1)
        for vm in self.vms:
            if vm.process is not None:
                vm.process.wait()

    async def _add_server(self, service: str, domain: str) -> None:
        number = len(self.servers)
        server = PlatformServerStandIn(
            f'i-{service}-{domain}',
            service,
            domain,
            Address(self.host(2), _SERVER_PORT + number),
            self.runs,
        )
        await server.start()
        proxy = Proxy(
            Address(self.host(2), _PROXY_PORT + number),
            server.address,
        )
        await proxy.start()
        self.servers.append(server)
        self.proxies[server.server_id] = proxy
        self.register(server, 'ready')

    async def _add_vm(self, number: int, store: Address) -> None:
        host = self.host(10 + number)
        proxy = Proxy(Address(host, _STORE_PORT), store)
        await proxy.start()
        name = f'vm-{number}'
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(_settings(name, host, number, proxy)))
        vm = Vm(name, host, path, self.folder / f'{name}.log', proxy)
        vm.touch()
        vm.start()
        self.vms.append(vm)


def _routes(host: str, moved_to: str) -> list[dict[str, object]]:
    shared: dict[str, object] = {
        'host': host,
        'timeout_ms': _TIMEOUT_MS,
        'target_latency_ms': 400,
        'route_type': 'idempotent',
        'max_attempts': 3,
    }
    gather = {'gather': list(SHARDS), 'top_k': 6, 'min_shard_share': 0.5}
    once = {'service': 'p0', 'route_type': 'non_idempotent'}
    return [
        {**shared, **gather, 'name': f'all {host}', 'path_prefix': '/all/'},
        {**shared, **once, 'name': f'one {host}', 'path_prefix': '/one/'},
        {
            **shared,
            'service': moved_to,
            'name': f'move {host}',
            'path_prefix': '/move/',
        },
    ]


def _settings(
    name: str,
    host: str,
    number: int,
    store: Proxy,
) -> dict[str, object]:
    return {
        'node_name': name,
        'ip': host,
        'zone': DOMAINS[number % len(DOMAINS)],
        'listen_addrs': {
            'front': f'{host}:{CALLER_PORT}',
            'readiness': f'{host}:{READY_PORT}',
            'directory': f'{host}:{DIRECTORY_PORT}',
        },
        'internal_ports': list(_INTERNAL_PORTS),
        'platform': {'address': str(store.listen)},
        'bootstrap': True,
        'bounds': {'grace_s': GRACE_S, 'retry_slack': 100, 'ttl_max_s': 2},
    }
