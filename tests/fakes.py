"""Fake implementations of the ports for tests in virtual time."""

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

_ObjectKey = tuple[str, str]


class RecordingLog:
    """Decision log that keeps its records in memory.

    Parameters:
        lines: records in order; ``event`` holds the decision.
    """

    def __init__(self) -> None:
        """Initialize without records."""
        self.lines: list[dict[str, object]] = []

    def record(self, decision: str, **fields: object) -> None:
        """Append a record to ``lines``."""
        self.lines.append({'event': decision, **fields})

    def events(self, decision: str) -> list[dict[str, object]]:
        """Return the records of one decision."""
        return [line for line in self.lines if line['event'] == decision]


class FakePlatform:
    """In-memory object store that several FakePlatformClients share.

    Parameters:
        version: version of the latest change of any object.
        vms: VM list that the clients return.
        writes: number of successful conditional writes.
        changed: event of the next conditional write; replaced by each one.
    """

    def __init__(self) -> None:
        """Initialize without objects or VMs."""
        self.objects: dict[_ObjectKey, StoredObject] = {}
        self.version = 0
        self.vms: tuple[VmRecord, ...] = ()
        self.writes = 0
        self.changed = curio.Event()

    def put(self, kind: str, name: str, text: bytes | None) -> int:
        """Write an object unconditionally and return its new version.

        Parameters:
            text: new value; None deletes the object.
        """
        self.version += 1
        stored = StoredObject(kind, name, self.version, text)
        self.objects[kind, name] = stored
        return self.version

    def listing(self, kinds: Sequence[str], after: int) -> Listing:
        """Return objects of the given kinds changed after a version."""
        changed = [
            stored
            for stored in self.objects.values()
            if stored.kind in kinds and stored.version > after
        ]
        return Listing(self.version, tuple(changed))


class FakePlatformClient:
    """Platform client of one VM, with settable faults.

    Parameters:
        down: calls fail without effect.
        loses_replies: writes take effect, but report a failure.
        watch_is_silent: watches never report changes.
        stale_listing: if set, lists return it and watches report no changes.
    """

    def __init__(self, platform: FakePlatform) -> None:
        """Initialize without faults."""
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
        """Return an object, or None if there is none."""
        if self.down:
            return _unavailable()
        return Success(self.platform.objects.get((kind, name)))

    async def list_objects(
        self,
        kinds: Sequence[str],
    ) -> Result[Listing, PlatformError]:
        """Return all objects of the given kinds."""
        if self.down:
            return _unavailable()
        return Success(self.stale_listing or self.platform.listing(kinds, 0))

    async def watch(
        self,
        kinds: Sequence[str],
        after: int,
        wait: float,
    ) -> Result[Listing, PlatformError]:
        """Wait at most ``wait`` seconds for changes after a version."""
        end = await curio.clock() + wait
        while await curio.clock() < end:
            if self.down:
                return _unavailable()
            listing = self.platform.listing(kinds, after)
            if (
                listing.objects
                and not self.watch_is_silent
                and not self.stale_listing
            ):
                return Success(listing)
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
        """Write an object if it has the expected version.

        Parameters:
            expected: expected version; 0 if there must be no object.
        """
        if self.down:
            return _unavailable()
        current = self.platform.objects.get((kind, name))
        version_found = current.version if current else 0
        if version_found != expected:
            return Failure(VersionConflictError(name, expected, version_found))
        self.platform.writes += 1
        version = self.platform.put(kind, name, text)
        changed = self.platform.changed
        self.platform.changed = curio.Event()
        await changed.set()
        if self.loses_replies:
            return _unavailable()
        return Success(version)

    async def list_vms(self) -> Result[tuple[VmRecord, ...], PlatformError]:
        """Return the VM list."""
        if self.down:
            return _unavailable()
        return Success(self.platform.vms)


def _unavailable() -> Result[object, PlatformError]:
    return Failure(PlatformUnavailableError('down'))


class FakeNetwork:
    """In-memory datagram network between hosts.

    Parameters:
        queues: datagrams not received yet, by destination host.
        cut: pairs of hosts that cannot reach each other.
        sent: number of datagrams sent, including undelivered ones.
    """

    def __init__(self) -> None:
        """Initialize without hosts."""
        self.queues: dict[str, curio.Queue] = {}
        self.cut: set[frozenset[str]] = set()
        self.sent = 0

    def attach(self, host: str) -> FakeDatagrams:
        """Add a host and return its datagram port."""
        self.queues[host] = curio.Queue()
        return FakeDatagrams(self, host)

    def isolate(self, host: str) -> None:
        """Cut the connection between a host and all others."""
        for other in self.queues:
            self.cut.add(frozenset((host, other)))


class FakeDatagrams:
    """Datagram port of one host on a FakeNetwork."""

    def __init__(self, network: FakeNetwork, host: str) -> None:
        """Initialize the port of a host that is attached to the network."""
        self._network = network
        self._host = host

    async def send(self, host: str, datagram: Datagram) -> None:
        """Deliver a datagram unless the pair is cut or the host unknown."""
        self._network.sent += 1
        queue = self._network.queues.get(host)
        if queue is None or frozenset((host, self._host)) in self._network.cut:
            return
        await queue.put((self._host, datagram))

    async def receive(self) -> tuple[str, Datagram]:
        """Wait for a datagram and return it with its sender."""
        return await self._network.queues[self._host].get()


@dataclass
class FakeServer:
    """Behaviour of a backend server and a record of its requests.

    Parameters:
        indexes: key ranges served, by snapshot version.
        instance: identifier of the server process.
        service_time_s: seconds that a request runs.
        refusal: if set, the reason with which every request is refused.
        unresponsive: requests are never answered and time out.
        resets: connections are reset after the request was sent.
        reported_state: if set, replaces the state that the server reports.
        running: number of requests in progress.
        peak: highest number of requests in progress at the same time.
        runs: requests received, in order.
        arrival_times: virtual time in seconds at which each was received.
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
    """Connection to a FakeServer."""

    def __init__(self, server: FakeServer) -> None:
        """Initialize a connection to the server."""
        self._server = server

    async def run(self, request: SubRequest, timeout: float) -> SubResult:
        """Run a request; fail with ``LATE`` after ``timeout`` seconds."""
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
        """Return the reported state of the server, warm by default."""
        server = self._server
        if server.unresponsive or server.resets:
            return Failure(SubFailure(Reason.LOST, sent=False))
        phase = ServerPhase.WARM
        state = ServerState(server.instance, phase, server.indexes)
        return Success(server.reported_state or state)

    async def close(self) -> None:
        """Do nothing; there is no socket to close."""

    async def _run(self, request: SubRequest, timeout: float) -> SubResult:
        server = self._server
        if server.resets:
            return Failure(SubFailure(Reason.LOST, sent=True))
        if server.refusal is not None:
            return Failure(SubFailure(server.refusal, sent=True))
        ranges = server.indexes.get(request.context.snapshot, ())
        if not any(served.covers(request.keys) for served in ranges):
            return Failure(SubFailure(Reason.VERSION_GONE, sent=True))
        if server.unresponsive or server.service_time_s > timeout:
            await curio.sleep(timeout)
            return Failure(SubFailure(Reason.LATE, sent=True))
        await curio.sleep(server.service_time_s)
        snapshot = request.context.snapshot
        rows = b'["%d@%d"]' % (request.keys.start, snapshot)
        return Success(SubAnswer(rows, server.instance))


class SubResultRecorder:
    """Result sink that keeps the results by sub-request identifier."""

    def __init__(self) -> None:
        """Initialize without results."""
        self.results: dict[int, SubResult] = {}

    async def deliver(self, sub_id: int, outcome: SubResult) -> None:
        """Record a result.

        Raises:
            AssertionError: the sub-request already has a result.
        """
        if sub_id in self.results:
            raise AssertionError(f'{sub_id} delivered twice')
        self.results[sub_id] = outcome


class DirectRoute:
    """Route that runs requests on FakeServers without an owning VM.

    Parameters:
        submitted: requests submitted, in order.
        cancelled: requests cancelled, in order.
    """

    def __init__(self, servers: dict[str, FakeServer]) -> None:
        """Initialize a route to servers by identifier."""
        self._servers = servers
        self._tasks: dict[int, curio.Task] = {}
        self.submitted: list[SubRequest] = []
        self.cancelled: list[SubRequest] = []

    async def submit(self, request: SubRequest, sink: SubResultSink) -> None:
        """Start a task that runs a request and delivers its result."""
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
