"""Faults and planned work of a soak, drawn from a seed."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import curio

from soak._proxy import Harm
from soak._world import DRAIN_S, GRACE_S, Vm, World

_LONGEST_S = 3.0
_SHORTEST_S = 0.3
_HARMS = (Harm.DELAY, Harm.SILENCE, Harm.ONE_WAY)
_RESTART_S = 0.3
_EXIT_MARGIN_S = 0.5
_POLL_S = 0.05
_PAUSES_S = (0.1, 1.2)

Fault = Callable[['Faults'], Awaitable[None]]


class Faults:
    """Injects faults one after the other; they overlap."""

    def __init__(self, world: World, seed: int) -> None:
        """Draw nothing yet."""
        self._world = world
        self._random = random.Random(seed)  # noqa: S311
        self.done: list[str] = []

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds, and wait for their ends."""
        async with curio.TaskGroup() as group:
            left = seconds
            while left > 0:
                fault = self._random.choice(_FAULTS)
                self.done.append(fault.__name__.strip('_'))
                await group.spawn(fault(self))
                pause = self._random.uniform(*_PAUSES_S)
                left -= pause
                await curio.sleep(pause)

    async def _kill(self) -> None:
        vm = self._strike(signal.SIGKILL)
        if vm is None:
            return
        await curio.sleep(_RESTART_S)
        self._restart(vm)

    async def _terminate(self) -> None:
        vm = self._running_vm()
        if vm is None or vm.process is None:
            return
        vm.stopping = True
        vm.send(signal.SIGTERM)
        waited: float = 0
        while vm.process.poll() is None and waited < GRACE_S + _EXIT_MARGIN_S:
            await curio.sleep(_POLL_S)
            waited += _POLL_S
        code = vm.process.poll()
        if code is None:
            self._world.violate(f'{vm.name} outlived its grace time')
            vm.send(signal.SIGKILL)
            await curio.sleep(_RESTART_S)
        elif code and not (code == -signal.SIGTERM and vm.is_starting()):
            self._world.violate(f'{vm.name} exited with {code}')
        self._restart(vm)

    async def _pause(self) -> None:
        vm = self._strike(signal.SIGSTOP)
        if vm is None:
            return
        await curio.sleep(self._duration())
        vm.send(signal.SIGCONT)
        vm.touch()
        vm.stopping = False

    async def _hang_up(self) -> None:
        vm = self._running_vm()
        if vm is not None:
            vm.send(signal.SIGHUP)

    async def _cut_store(self) -> None:
        vm = self._random.choice(self._world.vms)
        vm.store.harm = self._random.choice(_HARMS)
        await self._last(vm)
        vm.store.harm = Harm.NONE
        vm.touch()

    async def _reset_store(self) -> None:
        vm = self._random.choice(self._world.vms)
        vm.touch()
        await vm.store.reset()

    async def _store_fails(self) -> None:
        store = self._world.store
        kind = self._random.choice(('status', 'silent', 'loses_writes'))
        self._touch_all()
        if kind == 'status':
            store.status = HTTPStatus.SERVICE_UNAVAILABLE
        else:
            setattr(store, kind, True)
        await curio.sleep(self._duration())
        store.status = None
        store.silent = False
        store.loses_writes = False
        self._touch_all()

    async def _compact(self) -> None:
        self._world.store.compact()

    async def _harm_server(self) -> None:
        server = self._random.choice(self._world.servers)
        proxy = self._world.proxies[server.server_id]
        proxy.harm = self._random.choice(_HARMS)
        await curio.sleep(self._duration())
        proxy.harm = Harm.NONE
        self._world.harm_servers()
        # What was swallowed meanwhile cannot be made up for.
        await proxy.reset()

    async def _reset_server(self) -> None:
        server = self._random.choice(self._world.servers)
        self._world.harm_servers()
        await self._world.proxies[server.server_id].reset()

    async def _server_fails(self) -> None:
        server = self._random.choice(self._world.servers)
        kind = self._random.choice(('fails', 'loses', 'sheds'))
        self._world.harm_servers()
        setattr(server, kind, True)
        await curio.sleep(self._duration())
        setattr(server, kind, False)
        self._world.harm_servers()

    async def _configure(self) -> None:
        self._world.configure(self._random.choice(('p0', 'p1')))

    async def _drain(self) -> None:
        world = self._world
        server = self._random.choice(world.servers)
        if world.drained:
            return
        world.register(server, 'draining')
        world.drained[server.server_id] = time.monotonic()
        await curio.sleep(DRAIN_S + _LONGEST_S)
        world.check_drained(server)
        world.drained.clear()
        world.register(server, 'ready')

    def _running_vm(self) -> Vm | None:
        """Return a VM to harm, as long as most of the others run."""
        vms = [vm for vm in self._world.vms if not vm.stopping]
        if len(vms) < len(self._world.vms) - 1:
            return None
        return self._random.choice(vms)

    def _strike(self, number: signal.Signals) -> Vm | None:
        """Send a VM a signal that it cannot handle."""
        vm = self._running_vm()
        if vm is not None:
            vm.stopping = True
            vm.touch()
            vm.send(number)
        return vm

    def _restart(self, vm: Vm) -> None:
        vm.start()
        vm.touch()

    async def _last(self, vm: Vm) -> None:
        vm.touch()
        await curio.sleep(self._duration())

    def _touch_all(self) -> None:
        for vm in self._world.vms:
            vm.touch()

    def _duration(self) -> float:
        return self._random.uniform(_SHORTEST_S, _LONGEST_S)


_FAULTS: tuple[Fault, ...] = (
    Faults._kill,
    Faults._terminate,
    Faults._pause,
    Faults._hang_up,
    Faults._cut_store,
    Faults._reset_store,
    Faults._store_fails,
    Faults._compact,
    Faults._harm_server,
    Faults._reset_server,
    Faults._server_fails,
    Faults._configure,
    Faults._drain,
)
