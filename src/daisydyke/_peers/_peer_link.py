"""Outgoing connection from this entry VM to another one."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from itertools import count

import curio
from returns.result import Failure as Failed
from returns.result import Success

from .._adapters._datagrams import Member
from .._adapters._frames import (
    Answered,
    Attempt,
    Cancel,
    CommitForward,
    CommitReply,
    FrameChannel,
    Hello,
    Message,
    ServerStateUpdate,
    Submit,
    SyncObjects,
    SyncRequest,
)
from .._adapters._frames import Failed as FailedMessage
from .._adapters._http_client import HttpResponse
from .._domain._model import (
    Failure,
    KeyRange,
    ServerPhase,
    ServerState,
    SubAnswer,
    SubFailure,
    SubRequest,
)
from .._operations._configuration import Configuration
from .._ports import (
    Clock,
    StoredObject,
    SubResult,
    SubResultSink,
)
from .._queries._catalogue import Catalogue
from ..exceptions import DaisydykeError

_RECONNECT_INTERVAL_S = 0.25
_COMMIT_FORWARD_TIMEOUT_S = 10.0
_CONNECT_TIMEOUT_S = 1.0

OpenChannel = Callable[[str, int], Awaitable[FrameChannel]]


class Outbox:
    """Queues messages and sends all that are queued in one frame."""

    def __init__(self) -> None:
        """Initialize without messages."""
        self._messages: list[Message] = []
        self._has_messages = curio.Event()

    @property
    def last_message(self) -> Message | None:
        """Last message of the next frame; it may still be modified."""
        return self._messages[-1] if self._messages else None

    async def put(self, message: Message) -> None:
        """Add a message to the next frame."""
        self._messages.append(message)
        await self._has_messages.set()

    async def run(self, channel: FrameChannel) -> None:
        """Send frames until cancelled.

        Raises:
            ConnectionLostError: the channel is closed.
        """
        while True:
            await self._has_messages.wait()
            self._has_messages.clear()
            batch = self._messages
            self._messages = []
            if batch:
                await channel.send(batch)


class _PendingRequest:
    """A sub-request sent over a link whose result is outstanding."""

    __slots__ = ('sink', 'sub_id')

    def __init__(self, sub_id: int, sink: SubResultSink) -> None:
        self.sub_id = sub_id
        self.sink = sink


class PeerLink:
    """Connection that this entry VM opens to another entry VM.

    It carries sub-requests for backend servers that the other VM owns, commits
    whose keys name that VM and requests for documents. It receives their
    responses and the states of the servers that the other VM owns.

    Parameters:
        member: the VM to connect to.
        hello: first message on each connection; identifies this process.
        catalogue: updated with the server states received.
        configuration: updated with the documents received.
    """

    def __init__(
        self,
        member: Member,
        hello: Hello,
        catalogue: Catalogue,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        """Initialize the link; ``run`` connects it."""
        self._member = member
        self._hello = hello
        self._catalogue = catalogue
        self._configuration = configuration
        self._clock = clock
        self._outbox: Outbox | None = None
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._pending_commits: dict[int, curio.Result] = {}
        self._call_ids = count(1)

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._outbox is not None

    @property
    def member(self) -> Member:
        """The other VM, as it was when the link was created."""
        return self._member

    async def run(self, open_channel: OpenChannel) -> None:
        """Connect, and reconnect after each failure, until cancelled.

        Parameters:
            open_channel: opens a channel to a host and a port.
        """
        while True:
            try:
                async with curio.timeout_after(_CONNECT_TIMEOUT_S):
                    channel = await open_channel(
                        self._member.host,
                        self._member.peer_port,
                    )
            except (DaisydykeError, curio.TaskTimeout):
                await curio.sleep(_RECONNECT_INTERVAL_S)
                continue
            await self._run_channel(channel)
            await curio.sleep(_RECONNECT_INTERVAL_S)

    async def submit(self, request: SubRequest, sink: SubResultSink) -> None:
        """Send a sub-request to the other VM, which owns its server.

        The sub-request is added to the last message of the next frame if that
        message belongs to the same request.

        Parameters:
            sink: receives the result, the failure ``LOST`` without a
                connection.
        """
        if self._outbox is None:
            failure = SubFailure(Failure.LOST, sent=False)
            await sink.deliver(request.sub_id, Failed(failure))
            return
        self._pending_requests[request.sub_id] = _PendingRequest(
            request.sub_id,
            sink,
        )
        message = self._outbox.last_message
        if isinstance(message, Submit) and _can_join(message, request):
            message.attempts.append(_to_attempt(request))
            return
        await self._outbox.put(_to_submit(request, self._clock.monotonic()))

    async def cancel(self, sub_id: int) -> None:
        """Cancel a sub-request; its result is discarded."""
        if (
            self._pending_requests.pop(sub_id, None)
            and self._outbox is not None
        ):
            await self._outbox.put(Cancel(sub_id))

    async def forward_commit(
        self,
        body: bytes,
        idempotency_key: str,
        request_id: str,
    ) -> HttpResponse | None:
        """Forward a non-idempotent request to the other VM.

        Returns:
            The response, or None without a connection, after a timeout or if
            the connection is lost; the request may have run in the latter
            two cases.
        """
        if self._outbox is None:
            return None
        call_id = next(self._call_ids)
        pending_reply = curio.Result()
        self._pending_commits[call_id] = pending_reply
        await self._outbox.put(
            CommitForward(call_id, body, idempotency_key, request_id),
        )
        reply = await curio.ignore_after(
            _COMMIT_FORWARD_TIMEOUT_S,
            pending_reply.unwrap(),
        )
        self._pending_commits.pop(call_id, None)
        if reply is None:
            return None
        return HttpResponse(reply.status, reply.body)

    async def request_sync(self, after: int) -> None:
        """Request the documents with a platform version above ``after``."""
        if self._outbox is not None:
            await self._outbox.put(SyncRequest(after))

    async def _run_channel(self, channel: FrameChannel) -> None:
        outbox = Outbox()
        await outbox.put(self._hello)
        writer = await curio.spawn(outbox.run(channel), daemon=True)
        self._outbox = outbox
        try:
            while True:
                for message in await channel.receive():
                    await self._handle_message(message)
        except DaisydykeError:
            return
        finally:
            self._outbox = None
            await writer.cancel()
            await channel.close()
            await self._handle_disconnect()

    async def _handle_disconnect(self) -> None:
        self._catalogue.mark_owner_lost(self._member.vm)
        requests = self._pending_requests
        self._pending_requests = {}
        failure = SubFailure(Failure.LOST, sent=True)
        for pending in requests.values():
            await pending.sink.deliver(pending.sub_id, Failed(failure))
        commits = self._pending_commits
        self._pending_commits = {}
        for pending_reply in commits.values():
            await pending_reply.set_value(None)

    async def _handle_message(self, message: Message) -> None:
        if isinstance(message, Answered):
            answer = SubAnswer(message.rows, message.instance)
            await self._deliver(message.sub_id, Success(answer))
        elif isinstance(message, FailedMessage):
            failure = SubFailure(Failure(message.reason), message.sent)
            await self._deliver(message.sub_id, Failed(failure))
        elif isinstance(message, ServerStateUpdate):
            state = _to_state(message)
            self._catalogue.put(message.server_id, state, self._member.vm)
        elif isinstance(message, SyncObjects):
            self._configuration.apply(
                StoredObject(*fields) for fields in message.objects
            )
        else:
            await self._handle_commit_reply(message)

    async def _handle_commit_reply(self, message: Message) -> None:
        if not isinstance(message, CommitReply):
            return
        pending_reply = self._pending_commits.get(message.call_id)
        if pending_reply is not None:
            await pending_reply.set_value(message)

    async def _deliver(self, sub_id: int, outcome: SubResult) -> None:
        pending = self._pending_requests.pop(sub_id, None)
        if pending is not None:
            await pending.sink.deliver(sub_id, outcome)


def _to_submit(request: SubRequest, now: float) -> Submit:
    context = request.context
    return Submit(
        context.request_id,
        context.service,
        context.snapshot,
        int((context.deadline - now) * 1000),
        context.parameters,
        context.idempotency_key,
        [_to_attempt(request)],
    )


def _to_attempt(request: SubRequest) -> Attempt:
    return Attempt(
        request.sub_id,
        request.server_id,
        request.keys.start,
        request.keys.end,
        request.wait_if_cold,
    )


def _can_join(message: Submit, request: SubRequest) -> bool:
    context = request.context
    return (
        message.request_id == context.request_id
        and message.snapshot == context.snapshot
        and not context.idempotency_key
    )


def _to_state(message: ServerStateUpdate) -> ServerState:
    indexes = {
        version: tuple(KeyRange(start, end) for start, end in ranges)
        for version, ranges in message.indexes.items()
    }
    return ServerState(message.instance, ServerPhase(message.phase), indexes)
