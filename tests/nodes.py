"""Simulated entry VMs for tests: real control components over fakes."""

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
from daisydyke._limits._ownership import Ownership, OwnershipDependencies
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
    RecordingLog,
    SubResultRecorder,
)
from tests.virtual_time import VirtualClock

SERVER = '127.0.9.1:9000'
SLOTS = 2
DOMAINS = ('north', 'centre', 'south')


@dataclass
class SimulatedCluster:
    """Clock, platform, network and backend server shared by the nodes.

    Parameters:
        server: the only backend server of the only service.
    """

    clock: VirtualClock
    platform: FakePlatform = field(default_factory=FakePlatform)
    network: FakeNetwork = field(default_factory=FakeNetwork)
    server: FakeServer = field(
        default_factory=lambda: FakeServer(
            {1: (KeyRange(0, 10),)},
            service_time_s=0.05,
        ),
    )

    def __post_init__(self) -> None:
        """Write the document of the service to the platform."""
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


class IgnoringMismatchHandler:
    """Ignores differing configuration digests."""

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Do nothing."""


class Node:
    """Control components of one entry VM process."""

    def __init__(
        self, cluster: SimulatedCluster, number: int, start: int = 1
    ) -> None:
        """Initialize the components; ``start`` runs them.

        Parameters:
            number: determines the name, host and failure domain of the VM.
            start: distinguishes the processes of a VM; rises.
        """
        self.cluster = cluster
        self.number = number
        self.process_start = start
        self.name = f'entry{number}'
        self.host = f'127.0.1.{number}'
        self.log = RecordingLog()
        self.client = FakePlatformClient(cluster.platform)
        self.configuration = Configuration(self.log)
        self.settings = LeaseSettings()
        self.tasks: list[curio.Task] = []
        clock = cluster.clock
        self.watch = ConfigurationWatch(self.client, self.configuration, clock)
        member = Member(
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
            member,
            cluster.network.attach(self.host),
            self.configuration,
            IgnoringMismatchHandler(),
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
        dependencies = OwnershipDependencies(
            self.client,
            self.configuration,
            self.membership,
            self.session,
            self.fencing,
            clock,
            self.log,
            self.settings,
        )
        self.ownership = Ownership(dependencies, self._make_gate)
        self.sink = SubResultRecorder()
        self.seeds: list[str] = []
        self._next_id = 0

    async def start(self) -> None:
        """Start the tasks of the components."""
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
        """Stop the process abruptly; its running requests continue."""
        self.cluster.network.isolate(self.host)
        for task in self.tasks:
            await task.cancel()
        for gate in self.ownership.gates.values():
            for task in gate._tasks:
                await task.cancel()
        self.ownership.gates.clear()

    def allowance(self) -> int:
        """Return how many slots of the server the node may use at present."""
        service = self.configuration.services.get('rota')
        if service is None:
            return 0
        return self.ownership.allowance(service, service.servers[0])

    async def submit_requests(self, count: int = 4) -> None:
        """Submit requests to the node's gate if it is open."""
        gate = self.ownership.gates.get(SERVER)
        if gate is None:
            return
        deadline = self.cluster.clock.now + 1
        context = RequestContext('r', 'rota', 1, deadline, b'{}')
        for _ in range(count):
            self._next_id += 1
            request = SubRequest(
                self._next_id,
                SERVER,
                KeyRange(0, 10),
                context,
                wait_if_cold=True,
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
            lambda: FakeServerConnection(self.cluster.server),
            self.cluster.clock,
            self.log,
        )


async def start_nodes(cluster: SimulatedCluster, count: int) -> list[Node]:
    """Start nodes listed by the platform and wait until one owns the server."""
    nodes = [Node(cluster, number) for number in range(count)]
    cluster.platform.vms = tuple(
        VmRecord(node.name, node.host, leaving=False) for node in nodes
    )
    for node in nodes:
        await node.start()
    await wait_until(lambda: full_owner(nodes) is not None, cluster)
    return nodes


def full_owner(nodes: list[Node]) -> Node | None:
    """Return the node that may use all slots of the server."""
    for node in nodes:
        if node.allowance() == SLOTS:
            return node
    return None


def largest_holder(nodes: list[Node]) -> Node | None:
    """Return the node that may use most slots, None if no node may use any."""
    best = max(nodes, key=lambda node: node.allowance())
    return best if best.allowance() else None


async def wait_until(
    condition: Callable[[], bool],
    cluster: SimulatedCluster,
    timeout: float = 60,
) -> float:
    """Wait for a condition in virtual time.

    Returns:
        Seconds until the condition held.

    Raises:
        AssertionError: the condition did not hold within ``timeout`` seconds.
    """
    started = cluster.clock.now
    while not condition():
        if cluster.clock.now - started > timeout:
            raise AssertionError(f'condition not met within {timeout} s')
        await curio.sleep(0.05)
    return cluster.clock.now - started


async def peak_allowance_under_load(nodes: list[Node], seconds: float) -> int:
    """Load all nodes for a number of seconds.

    Returns:
        The peak sum of the nodes' allowances.
    """
    peak = 0
    cluster = nodes[0].cluster
    end = cluster.clock.now + seconds
    while cluster.clock.now < end:
        for node in nodes:
            await node.submit_requests()
        peak = max(peak, sum(node.allowance() for node in nodes))
        await curio.sleep(0.05)
    return peak
