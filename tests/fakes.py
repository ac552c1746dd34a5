"""Fakes at the ports, for tests in virtual time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import curio
from returns.result import Failure, Result, Success

from daisydyke._adapters._datagrams import Datagram
from daisydyke._domain._model import (
    Failure as Reason,
)
from daisydyke._domain._model import (
    KeyRange,
    ServerPhase,
    ServerState,
    SubAnswer,
    SubFailure,
    SubRequest,
)
from daisydyke._ports import (
    Listing,
    StoredObject,
    SubResult,
    SubResultSink,
    VmRecord,
)
from daisydyke.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)

_OBJECT_KEYS = tuple[str, str]


class RecordingLog:
    """Keeps decisions for tests to read."""

    def __init__(self) -> None:
        """Start empty."""
        self.lines: list[dict[str, object]] = []

    def record(self, decision: str, **fields: object) -> None:
        """Keep a record."""
        self.lines.append({'event': decision, **fields})

    def events(self, decision: str) -> list[dict[str, object]]:
        """Return the records of one kind."""
        return [line for line in self.lines if line['event'] == decision]


class FakePlatform:
    """Versioned objects in memory, seen by all of its FakePlatformClients."""

    def __init__(self) -> None:
        """Start up and empty."""
        self.objects: dict[_OBJECT_KEYS, StoredObject] = {}
        self.version = 0
        self.vms: tuple[VmRecord, ...] = ()
        self.writes = 0
        self.changed = curio.Event()

    def put(self, kind: str, name: str, text: bytes | None) -> int:
        """Replace an object whatever its version."""
        self.version += 1
        stored = StoredObject(kind, name, self.version, text)
        self.objects[kind, name] = stored
        return self.version

    def listing(self, kinds: Sequence[str], after: int) -> Listing:
        """Return objects changed after a version."""
        found = [
            stored
            for stored in self.objects.values()
            if stored.kind in kinds and stored.version > after
        ]
        return Listing(self.version, tuple(found))


class FakePlatformClient:
    """One VM's way to the platform, with faults of its own.

    Parameters:
        down: calls fail and do nothing.
        loses_replies: writes take effect and fail.
        stale_listing: reads and watches answer this, as of an earlier time.
    """

    def __init__(self, platform: FakePlatform) -> None:
        """Start without a fault."""
        self.platform = platform
        self.down = False
        self.loses_replies = False
        self.watch_is_silent = False
        self.stale_listing: Listing | None = None

    async def read(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject | None, PlatformError]:
        """Read one object."""
        if self.down:
            return _unavailable()
        return Success(self.platform.objects.get((kind, name)))

    async def list_objects(
        self,
        kinds: Sequence[str],
    ) -> Result[Listing, PlatformError]:
        """Read all objects of some kinds."""
        if self.down:
            return _unavailable()
        return Success(self.stale_listing or self.platform.listing(kinds, 0))

    async def watch(
        self,
        kinds: Sequence[str],
        after: int,
        wait: float,
    ) -> Result[Listing, PlatformError]:
        """Wait for changes."""
        end = await curio.clock() + wait
        while await curio.clock() < end:
            if self.down:
                return _unavailable()
            found = self.platform.listing(kinds, after)
            if (
                found.objects
                and not self.watch_is_silent
                and not self.stale_listing
            ):
                return Success(found)
            remaining = end - await curio.clock()
            changed = self.platform.changed
            await curio.ignore_after(remaining, changed.wait())
        return Success(Listing(after, ()))

    async def write(
        self,
        kind: str,
        name: str,
        text: bytes,
        expected: int,
    ) -> Result[int, PlatformError]:
        """Replace an object if its version is the expected one."""
        if self.down:
            return _unavailable()
        current = self.platform.objects.get((kind, name))
        found = current.version if current else 0
        if found != expected:
            return Failure(VersionConflictError(name, expected, found))
        self.platform.writes += 1
        version = self.platform.put(kind, name, text)
        changed = self.platform.changed
        self.platform.changed = curio.Event()
        await changed.set()
        if self.loses_replies:
            return _unavailable()
        return Success(version)

    async def list_vms(self) -> Result[tuple[VmRecord, ...], PlatformError]:
        """Read the list of VMs."""
        if self.down:
            return _unavailable()
        return Success(self.platform.vms)


def _unavailable() -> Result[object, PlatformError]:
    return Failure(PlatformUnavailableError('down'))


class FakeNetwork:
    """Delivers datagrams between hosts, except over cut pairs."""

    def __init__(self) -> None:
        """Start with no host."""
        self.queues: dict[str, curio.Queue] = {}
        self.cut: set[frozenset[str]] = set()
        self.sent = 0

    def attach(self, host: str) -> FakeDatagrams:
        """Add a host."""
        self.queues[host] = curio.Queue()
        return FakeDatagrams(self, host)

    def isolate(self, host: str) -> None:
        """Cut a host from all others."""
        for other in self.queues:
            self.cut.add(frozenset((host, other)))


class FakeDatagrams:
    """One host's port on a FakeNetwork."""

    def __init__(self, network: FakeNetwork, host: str) -> None:
        """Attach to a network."""
        self._network = network
        self._host = host

    async def send(self, host: str, datagram: Datagram) -> None:
        """Deliver unless the pair is cut or the host unknown."""
        self._network.sent += 1
        queue = self._network.queues.get(host)
        if queue is None or frozenset((host, self._host)) in self._network.cut:
            return
        await queue.put((self._host, datagram))

    async def receive(self) -> tuple[str, Datagram]:
        """Wait for a datagram."""
        return await self._network.queues[self._host].get()


@dataclass
class FakeServer:
    """A backend server: what it serves, and who uses it now.

    Parameters:
        refusal: reason to refuse every request with.
        unresponsive: never answers.
    """

    indexes: dict[int, tuple[KeyRange, ...]] = field(default_factory=dict)
    instance: str = 'i1'
    service_time_s: float = 0.01
    refusal: Reason | None = None
    unresponsive: bool = False
    resets: bool = False
    reported_state: ServerState | None = None
    running: int = 0
    peak: int = 0
    runs: list[SubRequest] = field(default_factory=list)
    arrival_times: list[float] = field(default_factory=list)


class FakeServerConnection:
    """A connection to a FakeServer."""

    def __init__(self, server: FakeServer) -> None:
        """Connect."""
        self._server = server

    async def run(self, request: SubRequest, timeout: float) -> SubResult:
        """Run a request, honouring timeout and cancellation."""
        server = self._server
        server.running += 1
        server.peak = max(server.peak, server.running)
        server.runs.append(request)
        server.arrival_times.append(await curio.clock())
        try:
            return await self._run(request, timeout)
        finally:
            server.running -= 1

    async def state(self, timeout: float) -> Result[ServerState, SubFailure]:
        """Say what the server serves."""
        server = self._server
        if server.unresponsive or server.resets:
            return Failure(SubFailure(Reason.LOST, sent=False))
        phase = ServerPhase.WARM
        state = ServerState(server.instance, phase, server.indexes)
        return Success(server.reported_state or state)

    async def close(self) -> None:
        """Close."""

    async def _run(self, request: SubRequest, timeout: float) -> SubResult:
        server = self._server
        if server.resets:
            return Failure(SubFailure(Reason.LOST, sent=True))
        if server.refusal is not None:
            return Failure(SubFailure(server.refusal, sent=True))
        ranges = server.indexes.get(request.context.snapshot, ())
        if not any(held.covers(request.keys) for held in ranges):
            return Failure(SubFailure(Reason.VERSION_GONE, sent=True))
        if server.unresponsive or server.service_time_s > timeout:
            await curio.sleep(timeout)
            return Failure(SubFailure(Reason.LATE, sent=True))
        await curio.sleep(server.service_time_s)
        snapshot = request.context.snapshot
        rows = b'["%d@%d"]' % (request.keys.start, snapshot)
        return Success(SubAnswer(rows, server.instance))


class SubResultRecorder:
    """Keeps the results of sub-requests."""

    def __init__(self) -> None:
        """Start empty."""
        self.results: dict[int, SubResult] = {}

    async def deliver(self, sub_id: int, outcome: SubResult) -> None:
        """Keep a result; a second one for the same id is an error."""
        if sub_id in self.results:
            raise AssertionError(f'{sub_id} delivered twice')
        self.results[sub_id] = outcome


class DirectRoute:
    """Routes straight to FakeServers, with no owner between."""

    def __init__(self, servers: dict[str, FakeServer]) -> None:
        """Route to servers by identifier."""
        self._servers = servers
        self._tasks: dict[int, curio.Task] = {}
        self.submitted: list[SubRequest] = []
        self.cancelled: list[SubRequest] = []

    async def submit(self, request: SubRequest, sink: SubResultSink) -> None:
        """Run a request in a task of its own."""
        self.submitted.append(request)
        self._tasks[request.sub_id] = await curio.spawn(
            self._run(request, sink),
            daemon=True,
        )

    async def cancel(self, request: SubRequest) -> None:
        """Cancel the task of a request."""
        self.cancelled.append(request)
        await self._tasks[request.sub_id].cancel()

    async def _run(self, request: SubRequest, sink: SubResultSink) -> None:
        connection = FakeServerConnection(self._servers[request.server_id])
        now = await curio.clock()
        remaining = request.context.deadline - now
        outcome = await connection.run(request, remaining)
        await sink.deliver(request.sub_id, outcome)
