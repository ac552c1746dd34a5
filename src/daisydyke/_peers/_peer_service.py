"""Serves the connections that other entry VMs open to this one."""

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
    ServerStateUpdate,
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

_STATE_CHECK_INTERVAL_S = 0.1

Gates = Mapping[str, ServerGate]


class PeerService:
    """Answers other entry VMs on the connections that they have opened.

    It runs sub-requests on the backend servers that this VM owns, executes
    forwarded commits, returns documents and sends the states of this VM's
    servers.

    Parameters:
        vm: name of this VM.
        gates: gates of the servers that this VM owns, by server identifier;
            the mapping changes with the ownership.
        catalogue: updated with the states of this VM's servers.
        configuration: source of the documents that other VMs request.
        commits: executes the commits whose keys name this VM.
    """

    def __init__(
        self,
        vm: str,
        gates: Gates,
        catalogue: Catalogue,
        configuration: Configuration,
        commits: CommitExecutor,
        clock: Clock,
    ) -> None:
        """Initialize without connections."""
        self._vm = vm
        self._gates = gates
        self._catalogue = catalogue
        self._configuration = configuration
        self._commits = commits
        self._clock = clock
        self._connections: dict[FrameChannel, _PeerConnection] = {}
        # Counts down: a gate identifies sub-requests by this number alone, and
        # those of this VM itself have positive ones.
        self._last_sub_id = 0

    async def serve(self, channel: FrameChannel) -> None:
        """Serve one connection until it is lost."""
        connection = _PeerConnection(self, channel)
        self._connections[channel] = connection
        try:
            await connection.run()
        finally:
            self._connections.pop(channel)

    async def run_state_updates(self) -> None:
        """Publish state changes of this VM's servers, until cancelled.

        Each change updates the catalogue and goes to all connected VMs.
        """
        while True:
            for gate in tuple(self._gates.values()):
                if self._catalogue.put(gate.server_id, gate.state, self._vm):
                    message = _to_state_message(gate.server_id, gate.state)
                    await self._broadcast(message)
            await curio.sleep(_STATE_CHECK_INTERVAL_S)

    async def send_all_states(self, outbox: Outbox) -> None:
        """Send the states of all servers that this VM owns."""
        for gate in tuple(self._gates.values()):
            await outbox.put(_to_state_message(gate.server_id, gate.state))

    async def submit(self, message: Submit, sink: _PeerConnection) -> None:
        """Submit the attempts of a message to the gates of their servers.

        Parameters:
            sink: connection that the results are sent on.
        """
        context = RequestContext(
            message.request_id,
            message.service,
            message.snapshot,
            self._clock.monotonic() + message.remaining_ms / 1000,
            message.parameters,
            message.idempotency_key,
        )
        for attempt in message.attempts:
            await self._submit_attempt(attempt, context, sink)

    async def execute_commit(
        self,
        message: CommitForward,
        outbox: Outbox,
    ) -> None:
        """Execute a forwarded non-idempotent request and send the response."""
        response = await self._commits.execute(
            message.body,
            message.idempotency_key,
            message.request_id,
        )
        reply = CommitReply(message.call_id, response.status, response.body)
        await outbox.put(reply)

    def objects_after(self, version: int) -> SyncObjects:
        """Return the documents in force with a higher platform version."""
        return SyncObjects(
            [
                (stored.kind, stored.name, stored.version, stored.text)
                for stored in self._configuration.newer_than(version)
            ],
        )

    async def _submit_attempt(
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
        self._last_sub_id -= 1
        sink.register(attempt.sub_id, self._last_sub_id, gate)
        request = SubRequest(
            self._last_sub_id,
            attempt.server_id,
            KeyRange(attempt.start, attempt.end),
            context,
            attempt.wait_if_cold,
        )
        await gate.submit(request, sink)

    async def _broadcast(self, message: Message) -> None:
        for connection in tuple(self._connections.values()):
            await connection.outbox.put(message)


class _PeerConnection:
    """An accepted connection and the sink of the sub-requests it carries.

    The peer's sub-request identifiers are replaced by local ones, since
    different peers may use the same identifiers.
    """

    def __init__(self, service: PeerService, channel: FrameChannel) -> None:
        self._service = service
        self._channel = channel
        self._peer_sub_ids: dict[int, int] = {}
        self._local_requests: dict[int, tuple[int, ServerGate]] = {}
        self.outbox = Outbox()

    def register(
        self,
        peer_sub_id: int,
        local_sub_id: int,
        gate: ServerGate,
    ) -> None:
        """Map a sub-request identifier of the peer to a local one."""
        self._peer_sub_ids[local_sub_id] = peer_sub_id
        self._local_requests[peer_sub_id] = (local_sub_id, gate)

    async def deliver(self, sub_id: int, outcome: SubResult) -> None:
        """Send a result to the peer, unless the sub-request was cancelled."""
        peer_sub_id = self._peer_sub_ids.pop(sub_id, None)
        if peer_sub_id is None:
            return
        self._local_requests.pop(peer_sub_id, None)
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            await self.outbox.put(
                Answered(peer_sub_id, answer.instance, answer.rows),
            )
            return
        failure = outcome.failure()
        await self.outbox.put(Failed(peer_sub_id, failure.reason, failure.sent))

    async def run(self) -> None:
        """Serve the connection until it is lost, then cancel its requests."""
        writer = await curio.spawn(
            self.outbox.run(self._channel),
            daemon=True,
        )
        await self._service.send_all_states(self.outbox)
        try:
            while True:
                for message in await self._channel.receive():
                    await self._handle_message(message)
        except DaisydykeError:
            return
        finally:
            await writer.cancel()
            await self._channel.close()
            await self._cancel_all()

    async def _handle_message(self, message: Message) -> None:
        if isinstance(message, Submit):
            await self._service.submit(message, self)
        elif isinstance(message, Cancel):
            await self._cancel(message.sub_id)
        elif isinstance(message, SyncRequest):
            await self.outbox.put(self._service.objects_after(message.after))
        elif isinstance(message, CommitForward):
            await curio.spawn(
                self._service.execute_commit(message, self.outbox),
                daemon=True,
            )

    async def _cancel(self, peer_sub_id: int) -> None:
        local_request = self._local_requests.pop(peer_sub_id, None)
        if local_request is not None:
            local_sub_id, gate = local_request
            self._peer_sub_ids.pop(local_sub_id, None)
            await gate.cancel(local_sub_id)

    async def _cancel_all(self) -> None:
        for peer_sub_id in tuple(self._local_requests):
            await self._cancel(peer_sub_id)


def _to_state_message(server_id: str, state: ServerState) -> ServerStateUpdate:
    indexes = {
        version: [(key_range.start, key_range.end) for key_range in ranges]
        for version, ranges in state.indexes.items()
    }
    return ServerStateUpdate(server_id, state.instance, state.phase, indexes)
