"""Faults and operator actions of a soak, drawn from a seed."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import curio

from soak._proxy import NetworkFault
from soak._world import DRAIN_LIMIT_S, SoakCluster, Vm
from stand_ins.platform_server import SERVICE_TIME_S

_MAX_DURATION_S = 3.0
_MIN_DURATION_S = 0.3
_NETWORK_FAULTS = (
    NetworkFault.DELAY,
    NetworkFault.SILENCE,
    NetworkFault.ONE_WAY,
)
_RESTART_DELAY_S = 0.3
_EXIT_MARGIN_S = 0.5
_POLL_S = 0.05
_MIN_RUNNING_SHARE = 0.75
_CHANGES_IN_SERIES = 5
_SERIES_GAP_S = 0.15
_REPEATED_SIGNAL_SHARE = 0.02
_REPEATED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
_PAUSE_RANGE_S = (0.1, 1.2)
_SLOW_RANGE_S = (0.5, 3.5)

Fault = Callable[['FaultInjector'], Awaitable[None]]


class FaultInjector:
    """Injects random faults, which may overlap in time.

    Parameters:
        injected: names of the injected faults, in order.
    """

    def __init__(self, cluster: SoakCluster, seed: int) -> None:
        """Initialize the random draws from a seed."""
        self._cluster = cluster
        self._random = random.Random(seed)  # noqa: S311
        planned_only = cluster.layout.planned_only
        self._faults = _PLANNED if planned_only else (*_FAULTS, *_PLANNED)
        self.injected: list[str] = []

    async def run(self, duration_s: float) -> None:
        """Inject faults for ``duration_s`` seconds and wait until all end."""
        async with curio.TaskGroup() as group:
            remaining_s = duration_s
            while remaining_s > 0:
                fault = self._random.choice(self._faults)
                self.injected.append(fault.__name__.strip('_'))
                await group.spawn(fault(self))
                pause_s = self._random.uniform(*_PAUSE_RANGE_S)
                remaining_s -= pause_s
                await curio.sleep(pause_s)

    async def stop_all(self) -> None:
        """Stop all VMs at once, without starting them again."""
        async with curio.TaskGroup() as group:
            for vm in self._cluster.vms:
                if not vm.stopping:
                    await group.spawn(self._stop, vm)

    async def _kill(self) -> None:
        vm = self._send_uncatchable(signal.SIGKILL)
        if vm is None:
            return
        await curio.sleep(_RESTART_DELAY_S)
        self._restart(vm)
        vm.mark_disturbed()

    async def _terminate(self) -> None:
        vm = self._choose_running_vm()
        if vm is None or vm.process is None:
            return
        await self._stop(vm)
        self._restart(vm)

    async def _stop(self, vm: Vm) -> None:
        """Stop a VM; further signals during the stop must not matter."""
        process = vm.process
        if process is None:
            return
        vm.stopping = True
        vm.stop_at = time.monotonic()
        vm.send_signal(signal.SIGTERM)
        grace_s = self._cluster.layout.grace_s
        waited_s: float = 0
        while process.poll() is None and waited_s < grace_s + _EXIT_MARGIN_S:
            await curio.sleep(_POLL_S)
            waited_s += _POLL_S
            if self._random.random() < _REPEATED_SIGNAL_SHARE:
                vm.send_signal(self._random.choice(_REPEATED_SIGNALS))
        exit_code = process.poll()
        if exit_code is None:
            self._cluster.report_violation(f'{vm.name} outlived its grace time')
            vm.send_signal(signal.SIGKILL)
            await curio.sleep(_RESTART_DELAY_S)
        elif exit_code and not (
            exit_code == -signal.SIGTERM and vm.is_starting()
        ):
            self._cluster.report_violation(f'{vm.name} exited with {exit_code}')

    async def _pause(self) -> None:
        vm = self._send_uncatchable(signal.SIGSTOP)
        if vm is None:
            return
        await curio.sleep(self._draw_duration_s())
        vm.send_signal(signal.SIGCONT)
        vm.mark_disturbed()
        vm.stopping = False

    async def _hang_up(self) -> None:
        vm = self._choose_running_vm()
        if vm is None or vm.process is None:
            return
        process = vm.process
        vm.send_signal(signal.SIGHUP)
        await curio.sleep(_RESTART_DELAY_S)
        # The interpreter itself, while it starts, cannot handle a signal.
        if process.poll() == -signal.SIGHUP and vm.is_starting():
            vm.start()

    async def _cut_store(self) -> None:
        vm = self._random.choice(self._cluster.vms)
        vm.store_proxy.fault = self._random.choice(_NETWORK_FAULTS)
        await self._hold_fault(vm)
        vm.store_proxy.fault = NetworkFault.NONE
        vm.mark_disturbed()

    async def _reset_store(self) -> None:
        vm = self._random.choice(self._cluster.vms)
        vm.mark_disturbed()
        await vm.store_proxy.reset()

    async def _store_fails(self) -> None:
        store = self._cluster.store
        kind = self._random.choice(('status', 'silent', 'loses_writes'))
        self._mark_store_disturbed()
        if kind == 'status':
            store.status = HTTPStatus.SERVICE_UNAVAILABLE
        else:
            setattr(store, kind, True)
        await curio.sleep(self._draw_duration_s())
        store.status = None
        store.silent = False
        store.loses_writes = False
        self._mark_store_disturbed()

    async def _compact(self) -> None:
        self._cluster.store.compact()

    async def _harm_server(self) -> None:
        server = self._random.choice(self._cluster.servers)
        proxy = self._cluster.proxies[server.server_id]
        proxy.fault = self._random.choice(_NETWORK_FAULTS)
        await curio.sleep(self._draw_duration_s())
        proxy.fault = NetworkFault.NONE
        self._cluster.mark_servers_disturbed()
        # Discarded bytes leave gaps in the streams of open connections.
        await proxy.reset()

    async def _reset_server(self) -> None:
        server = self._random.choice(self._cluster.servers)
        self._cluster.mark_servers_disturbed()
        await self._cluster.proxies[server.server_id].reset()

    async def _server_fails(self) -> None:
        server = self._random.choice(self._cluster.servers)
        kind = self._random.choice(('fails', 'loses', 'sheds'))
        self._cluster.mark_servers_disturbed()
        setattr(server, kind, True)
        await curio.sleep(self._draw_duration_s())
        setattr(server, kind, False)
        self._cluster.mark_servers_disturbed()

    async def _slow_service(self) -> None:
        """Let requests take long for a while; their answers stay owed."""
        self._set_service_time(self._random.uniform(*_SLOW_RANGE_S))
        await curio.sleep(self._draw_duration_s())
        self._set_service_time(SERVICE_TIME_S)

    async def _stop_with_long_requests(self) -> None:
        """Stop a VM with requests that outlast its grace period."""
        self._set_service_time(self._cluster.layout.grace_s)
        await curio.sleep(self._random.uniform(*_PAUSE_RANGE_S))
        await self._terminate()
        self._set_service_time(SERVICE_TIME_S)

    def _set_service_time(self, seconds: float) -> None:
        cluster = self._cluster
        for server in (*cluster.servers, *cluster.target_servers):
            if server.service in cluster.layout.unsharded_servers:
                server.service_time_s = seconds

    async def _roll(self) -> None:
        """Stop and start VMs one after the other."""
        for _ in range(self._cluster.layout.rolled_count):
            await self._terminate()

    async def _configure(self) -> None:
        self._cluster.configure(self._random.choice(('p0', 'p1')))

    async def _configure_in_series(self) -> None:
        """Change routes and the set of shards several times in a row."""
        for _ in range(_CHANGES_IN_SERIES):
            self._cluster.configure(
                self._random.choice(('p0', 'p1')),
                self._random.choice(self._cluster.layout.shard_sets),
            )
            await curio.sleep(_SERIES_GAP_S)

    async def _reload_all(self) -> None:
        """Tell all VMs of new settings, some of which cannot be read."""
        first = len(self.injected)
        for number, vm in enumerate(self._cluster.vms, start=first):
            if not vm.stopping and not vm.is_starting():
                texts = _settings_texts(vm.settings_text)
                vm.settings_path.write_text(texts[number % len(texts)])
                vm.send_signal(signal.SIGHUP)
            await curio.sleep(_POLL_S)

    async def _drain(self) -> None:
        cluster = self._cluster
        server = self._random.choice(cluster.servers)
        if cluster.draining_since:
            return
        cluster.register(server, 'draining')
        cluster.draining_since[server.server_id] = time.monotonic()
        await curio.sleep(DRAIN_LIMIT_S + _MAX_DURATION_S)
        cluster.check_draining(server)
        cluster.draining_since.clear()
        cluster.register(server, 'ready')

    def _choose_running_vm(self) -> Vm | None:
        """Return a random running VM, or None if too few of them run."""
        vms = [vm for vm in self._cluster.vms if not vm.stopping]
        if len(vms) < len(self._cluster.vms) * _MIN_RUNNING_SHARE:
            return None
        return self._random.choice(vms)

    def _send_uncatchable(self, signal_number: signal.Signals) -> Vm | None:
        """Send a random VM a signal that a process cannot handle."""
        vm = self._choose_running_vm()
        if vm is not None:
            vm.stopping = True
            vm.mark_disturbed()
            vm.send_signal(signal_number)
        return vm

    def _restart(self, vm: Vm) -> None:
        vm.start()
        vm.mark_restarted()

    async def _hold_fault(self, vm: Vm) -> None:
        vm.mark_disturbed()
        await curio.sleep(self._draw_duration_s())

    def _mark_store_disturbed(self) -> None:
        self._cluster.store_disturbed_at = time.monotonic()
        for vm in self._cluster.vms:
            vm.mark_disturbed()

    def _draw_duration_s(self) -> float:
        return self._random.uniform(_MIN_DURATION_S, _MAX_DURATION_S)


def _settings_texts(text: str) -> tuple[str, ...]:
    """Return settings as they are, as they are being written, and faulty."""
    return text, text[: len(text) // 2], '', f'[{text}]', f'{text}\n'


_PLANNED: tuple[Fault, ...] = (
    FaultInjector._terminate,
    FaultInjector._hang_up,
    FaultInjector._slow_service,
    FaultInjector._stop_with_long_requests,
    FaultInjector._roll,
    FaultInjector._configure,
    FaultInjector._configure_in_series,
    FaultInjector._reload_all,
    FaultInjector._drain,
)
_FAULTS: tuple[Fault, ...] = (
    FaultInjector._kill,
    FaultInjector._pause,
    FaultInjector._cut_store,
    FaultInjector._reset_store,
    FaultInjector._store_fails,
    FaultInjector._compact,
    FaultInjector._harm_server,
    FaultInjector._reset_server,
    FaultInjector._server_fails,
)
