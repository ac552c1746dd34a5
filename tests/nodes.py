"""Entry VMs' control parts over fakes, several in one virtual time."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from daisydyke._adapters._datagrams import Digest, Member, Status
from daisydyke._domain._model import (
    Holder,
    KeyRange,
    RequestContext,
    ServerSpec,
    ServiceSpec,
    SubRequest,
)
from daisydyke._limits._fencing import Fencing
from daisydyke._limits._gate import Allowance, ServerGate
from daisydyke._limits._ownership import Ownership, OwnershipPorts
from daisydyke._limits._session import Session
from daisydyke._members._membership import Membership
from daisydyke._members._seeds import MemberDiscovery
from daisydyke._operations._configuration import (
    Configuration,
    ConfigurationWatch,
)
from daisydyke._ports import VmRecord
from daisydyke._settings._daemon import LeaseSettings
from tests.fakes import (
    FakeNetwork,
    FakePlatform,
    FakePlatformClient,
    FakeServer,
    FakeServerConnection,
    ListLog,
    ListSink,
)
from tests.virtual_time import VirtualClock

SERVER = '127.0.9.1:9000'
SLOTS = 2
DOMAINS = ('north', 'centre', 'south')


@dataclass
class World:
    """What the nodes share.

    Parameters:
        server: the one backend server, of the one service.
    """

    clock: VirtualClock
    platform: FakePlatform = field(default_factory=FakePlatform)
    network: FakeNetwork = field(default_factory=FakeNetwork)
    server: FakeServer = field(
        default_factory=lambda: FakeServer(
            {1: (KeyRange(0, 10),)},
            seconds=0.05,
        ),
    )

    def __post_init__(self) -> None:
        """Write the service's document."""
        document = {
            'name': 'rota',
            'keys': 10,
            'servers': [{'address': SERVER, 'domain': 'north'}],
            'limits': {
                'slots': SLOTS,
                'connections': 60,
                'cold_requests_per_s': 1000,
            },
        }
        self.platform.put('service', 'rota', json.dumps(document).encode())


class NoLag:
    """Ignores members whose configuration differs."""

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Do nothing."""


class Node:
    """The control parts of one entry VM."""

    def __init__(self, world: World, number: int, start: int = 1) -> None:
        """Build the parts; ``start`` tells processes of a VM apart."""
        self.world = world
        self.number = number
        self.start_id = start
        self.name = f'entry{number}'
        self.host = f'127.0.1.{number}'
        self.log = ListLog()
        self.client = FakePlatformClient(world.platform)
        self.configuration = Configuration(self.log)
        self.settings = LeaseSettings()
        self.tasks: list[curio.Task] = []
        clock = world.clock
        self.watch = ConfigurationWatch(self.client, self.configuration, clock)
        me = Member(
            self.name,
            self.host,
            DOMAINS[number % 3],
            8080,
            8081,
            start,
            start,
            Status.ALIVE,
        )
        self.membership = Membership(
            me,
            world.network.attach(self.host),
            self.configuration,
            NoLag(),
            clock,
            self.log,
        )
        self.session = Session(
            Holder(self.name, start),
            self.client,
            clock,
            self.settings,
            self.log,
        )
        self.fencing = Fencing(
            self.client,
            self.membership,
            clock,
            self.settings,
            self.log,
        )
        ports = OwnershipPorts(
            self.client,
            self.configuration,
            self.membership,
            self.session,
            self.fencing,
            clock,
            self.log,
            self.settings,
        )
        self.ownership = Ownership(ports, self._make_gate)
        self.sink = ListSink()
        self.seeds: list[str] = []
        self._next_id = 0

    async def start(self) -> None:
        """Run the parts."""
        runs = (
            self.watch.run,
            self.membership.run_receiver,
            self.membership.run_probes,
            self.session.run,
            self.fencing.run_vm_list,
            self.ownership.run,
            self._run_seeds,
        )
        for run in runs:
            self.tasks.append(await curio.spawn(run, daemon=True))

    async def crash(self) -> None:
        """End the process at once; its requests at the server run on."""
        self.world.network.isolate(self.host)
        for task in self.tasks:
            await task.cancel()
        for gate in self.ownership.gates.values():
            for task in gate._tasks:
                await task.cancel()
        self.ownership.gates.clear()

    def allowance(self) -> int:
        """Slots of the server that the node may use now."""
        service = self.configuration.services.get('rota')
        if service is None:
            return 0
        return self.ownership.allowance(service, service.servers[0])

    async def load(self, count: int = 4) -> None:
        """Hand requests to the node's gate, if it has one."""
        gate = self.ownership.gates.get(SERVER)
        if gate is None:
            return
        deadline = self.world.clock.now + 1
        context = RequestContext('r', 'rota', 1, deadline, b'{}')
        for _ in range(count):
            self._next_id += 1
            request = SubRequest(
                self._next_id,
                SERVER,
                KeyRange(0, 10),
                context,
                patient=True,
            )
            await gate.submit(request, self.sink)

    async def _run_seeds(self) -> None:
        await MemberDiscovery(self.membership, self.client, self.seeds).run()

    def _make_gate(
        self,
        service: ServiceSpec,
        spec: ServerSpec,
        allowance: Allowance,
    ) -> ServerGate:
        return ServerGate(
            service,
            spec,
            allowance,
            lambda: FakeServerConnection(self.world.server),
            self.world.clock,
            self.log,
        )


async def start_nodes(world: World, count: int) -> list[Node]:
    """Start nodes that know of each other, and wait for an owner."""
    nodes = [Node(world, number) for number in range(count)]
    world.platform.vms = tuple(
        VmRecord(node.name, node.host, leaving=False) for node in nodes
    )
    for node in nodes:
        await node.start()
    await until(lambda: owner_of(nodes) is not None, world)
    return nodes


def owner_of(nodes: list[Node]) -> Node | None:
    """Return the node that may use all slots of the server."""
    for node in nodes:
        if node.allowance() == SLOTS:
            return node
    return None


def holder_of(nodes: list[Node]) -> Node | None:
    """Return the node that may use most slots, if any may use one."""
    best = max(nodes, key=lambda node: node.allowance())
    return best if best.allowance() else None


async def until(
    condition: Callable[[], bool],
    world: World,
    timeout: float = 60,
) -> float:
    """Wait in virtual time; returns the seconds it took."""
    started = world.clock.now
    while not condition():
        if world.clock.now - started > timeout:
            raise AssertionError(f'not within {timeout} s')
        await curio.sleep(0.05)
    return world.clock.now - started


async def watch_limit(nodes: list[Node], seconds: float) -> int:
    """Load all nodes for a time; returns the peak sum of allowances."""
    peak = 0
    world = nodes[0].world
    end = world.clock.now + seconds
    while world.clock.now < end:
        for node in nodes:
            await node.load()
        peak = max(peak, sum(node.allowance() for node in nodes))
        await curio.sleep(0.05)
    return peak
