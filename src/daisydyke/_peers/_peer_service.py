"""The side of a peer connection that the other VM opened."""

from __future__ import annotations

from collections.abc import Mapping

import curio
from returns.result import Success

from .._adapters._frames import (
    Answered,
    Attempt,
    Cancel,
    CommitForward,
    CommitReply,
    Failed,
    FrameChannel,
    Message,
    ServerNews,
    Submit,
    SyncObjects,
    SyncRequest,
)
from .._commits._commit import CommitExecutor
from .._domain._model import (
    Failure,
    KeyRange,
    RequestContext,
    ServerState,
    SubRequest,
)
from .._limits._gate import ServerGate
from .._operations._configuration import Configuration
from .._ports import Clock, SubResult
from .._queries._catalogue import Catalogue
from ..exceptions import DaisydykeError
from ._peer_link import Outbox

_NEWS_INTERVAL_S = 0.1

Gates = Mapping[str, ServerGate]


class PeerService:
    """Serves the VMs that have opened a connection to this one."""

    def __init__(
        self,
        me: str,
        gates: Gates,
        catalogue: Catalogue,
        configuration: Configuration,
        commits: CommitExecutor,
        clock: Clock,
    ) -> None:
        """Wire the service; ``gates`` changes as ownership does."""
        self._me = me
        self._gates = gates
        self._catalogue = catalogue
        self._configuration = configuration
        self._commits = commits
        self._clock = clock
        self._peers: dict[FrameChannel, _PeerConnection] = {}
        self._next_id = 0

    async def serve(self, channel: FrameChannel) -> None:
        """Serve one connection until it breaks."""
        connection = _PeerConnection(self, channel)
        self._peers[channel] = connection
        try:
            await connection.run()
        finally:
            self._peers.pop(channel)

    async def run_state_updates(self) -> None:
        """Tell this VM and the others of servers whose state changes."""
        while True:
            for gate in tuple(self._gates.values()):
                if self._catalogue.put(gate.server_id, gate.state, self._me):
                    news = _to_news(gate.server_id, gate.state)
                    await self._broadcast(news)
            await curio.sleep(_NEWS_INTERVAL_S)

    async def greet(self, outbox: Outbox) -> None:
        """Tell a new peer of all servers that this VM owns."""
        for gate in tuple(self._gates.values()):
            await outbox.put(_to_news(gate.server_id, gate.state))

    async def submit(self, message: Submit, sink: _PeerConnection) -> None:
        """Hand the attempts of a message to their gates."""
        context = RequestContext(
            message.request_id,
            message.service,
            message.snapshot,
            self._clock.monotonic() + message.remaining_ms / 1000,
            message.parameters,
            message.idempotency_key,
        )
        for attempt in message.attempts:
            await self._submit_one(attempt, context, sink)

    async def commit(self, message: CommitForward, outbox: Outbox) -> None:
        """Answer a non-idempotent request whose key names this VM."""
        response = await self._commits.execute(
            message.body,
            message.idempotency_key,
            message.request_id,
        )
        reply = CommitReply(message.call_id, response.status, response.body)
        await outbox.put(reply)

    def objects_after(self, version: int) -> SyncObjects:
        """Return the documents in force that are newer than a version."""
        return SyncObjects(
            [
                (stored.kind, stored.name, stored.version, stored.text)
                for stored in self._configuration.newer_than(version)
            ],
        )

    async def _submit_one(
        self,
        attempt: Attempt,
        context: RequestContext,
        sink: _PeerConnection,
    ) -> None:
        gate = self._gates.get(attempt.server_id)
        if gate is None:
            failed = Failed(attempt.sub_id, Failure.FENCED, sent=False)
            await sink.outbox.put(failed)
            return
        self._next_id -= 1
        sink.remember(attempt.sub_id, self._next_id, gate)
        request = SubRequest(
            self._next_id,
            attempt.server_id,
            KeyRange(attempt.start, attempt.end),
            context,
            attempt.patient,
        )
        await gate.submit(request, sink)

    async def _broadcast(self, message: Message) -> None:
        for connection in tuple(self._peers.values()):
            await connection.outbox.put(message)


class _PeerConnection:
    """One accepted connection; the sink of the sub-requests it carries."""

    def __init__(self, service: PeerService, channel: FrameChannel) -> None:
        self._service = service
        self._channel = channel
        self._theirs: dict[int, int] = {}
        self._mine: dict[int, tuple[int, ServerGate]] = {}
        self.outbox = Outbox()

    def remember(self, theirs: int, mine: int, gate: ServerGate) -> None:
        """Map a sub-request id of the peer to one of this VM."""
        self._theirs[mine] = theirs
        self._mine[theirs] = (mine, gate)

    async def deliver(self, sub_id: int, outcome: SubResult) -> None:
        """Send a result back."""
        theirs = self._theirs.pop(sub_id, None)
        if theirs is None:
            return
        self._mine.pop(theirs, None)
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            await self.outbox.put(
                Answered(theirs, answer.instance, answer.rows),
            )
            return
        failure = outcome.failure()
        await self.outbox.put(Failed(theirs, failure.reason, failure.sent))

    async def run(self) -> None:
        """Serve until the connection breaks."""
        writer = await curio.spawn(
            self.outbox.run(self._channel),
            daemon=True,
        )
        await self._service.greet(self.outbox)
        try:
            while True:
                for message in await self._channel.receive():
                    await self._handle(message)
        except DaisydykeError:
            return
        finally:
            await writer.cancel()
            await self._channel.close()
            await self._cancel_all()

    async def _handle(self, message: Message) -> None:
        if isinstance(message, Submit):
            await self._service.submit(message, self)
        elif isinstance(message, Cancel):
            await self._cancel(message.sub_id)
        elif isinstance(message, SyncRequest):
            await self.outbox.put(self._service.objects_after(message.after))
        elif isinstance(message, CommitForward):
            await curio.spawn(
                self._service.commit(message, self.outbox),
                daemon=True,
            )

    async def _cancel(self, theirs: int) -> None:
        entry = self._mine.pop(theirs, None)
        if entry is not None:
            mine, gate = entry
            self._theirs.pop(mine, None)
            await gate.cancel(mine)

    async def _cancel_all(self) -> None:
        for theirs in tuple(self._mine):
            await self._cancel(theirs)


def _to_news(server_id: str, state: ServerState) -> ServerNews:
    indexes = {
        version: [(key_range.start, key_range.end) for key_range in ranges]
        for version, ranges in state.indexes.items()
    }
    return ServerNews(server_id, state.instance, state.phase, indexes)
