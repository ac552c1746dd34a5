"""The connection that this VM opens to one other VM, and its tasks."""

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

_RETRY_S = 0.25
_FORWARD_TIMEOUT_S = 10.0
_CONNECT_TIMEOUT_S = 1.0

Open = Callable[[str, int], Awaitable[FrameChannel]]


class Outbox:
    """Messages waiting to be sent together in the next frame."""

    def __init__(self) -> None:
        """Start empty."""
        self._messages: list[Message] = []
        self._filled = curio.Event()

    @property
    def last(self) -> Message | None:
        """The latest message of the next frame, which can still change."""
        return self._messages[-1] if self._messages else None

    async def put(self, message: Message) -> None:
        """Add a message to the next frame."""
        self._messages.append(message)
        await self._filled.set()

    async def run(self, channel: FrameChannel) -> None:
        """Send frames until the channel breaks."""
        while True:
            await self._filled.wait()
            self._filled.clear()
            batch = self._messages
            self._messages = []
            if batch:
                await channel.send(batch)


class _Pending:
    """A sub-request whose result is awaited on a link."""

    __slots__ = ('sink', 'sub_id')

    def __init__(self, sub_id: int, sink: SubResultSink) -> None:
        self.sub_id = sub_id
        self.sink = sink


class PeerLink:
    """The connection that this VM opens to one other VM."""

    def __init__(
        self,
        member: Member,
        hello: Hello,
        catalogue: Catalogue,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        """Connect later, when run."""
        self._member = member
        self._hello = hello
        self._catalogue = catalogue
        self._configuration = configuration
        self._clock = clock
        self._outbox: Outbox | None = None
        self._pending: dict[int, _Pending] = {}
        self._calls: dict[int, curio.Result] = {}
        self._ids = count(1)

    @property
    def connected(self) -> bool:
        """Whether messages can be sent now."""
        return self._outbox is not None

    @property
    def member(self) -> Member:
        """The VM at the other end, as known when the link was made."""
        return self._member

    async def run(self, open_channel: Open) -> None:
        """Connect and reconnect until cancelled."""
        while True:
            try:
                async with curio.timeout_after(_CONNECT_TIMEOUT_S):
                    channel = await open_channel(
                        self._member.host,
                        self._member.peer_port,
                    )
            except (DaisydykeError, curio.TaskTimeout):
                await curio.sleep(_RETRY_S)
                continue
            await self._run_channel(channel)
            await curio.sleep(_RETRY_S)

    async def submit(self, request: SubRequest, sink: SubResultSink) -> None:
        """Send a sub-request to the VM that owns its server."""
        if self._outbox is None:
            lost = SubFailure(Failure.LOST, sent=False)
            await sink.deliver(request.sub_id, Failed(lost))
            return
        self._pending[request.sub_id] = _Pending(request.sub_id, sink)
        last = self._outbox.last
        if isinstance(last, Submit) and _same_request(last, request):
            last.attempts.append(_to_attempt(request))
            return
        await self._outbox.put(_to_submit(request, self._clock.monotonic()))

    async def cancel(self, sub_id: int) -> None:
        """Tell the owner that a result is no longer wanted."""
        if self._pending.pop(sub_id, None) and self._outbox is not None:
            await self._outbox.put(Cancel(sub_id))

    async def forward_commit(
        self,
        body: bytes,
        idempotency_key: str,
        request_id: str,
    ) -> HttpResponse | None:
        """Have the other VM answer a non-idempotent request.

        Returns:
            The response, or None if it is not known what became of it.
        """
        if self._outbox is None:
            return None
        call_id = next(self._ids)
        awaited = curio.Result()
        self._calls[call_id] = awaited
        await self._outbox.put(
            CommitForward(call_id, body, idempotency_key, request_id),
        )
        reply = await curio.ignore_after(_FORWARD_TIMEOUT_S, awaited.unwrap())
        self._calls.pop(call_id, None)
        if reply is None:
            return None
        return HttpResponse(reply.status, reply.body)

    async def request_sync(self, after: int) -> None:
        """Ask for documents newer than a platform version."""
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
                    await self._handle(message)
        except DaisydykeError:
            return
        finally:
            self._outbox = None
            await writer.cancel()
            await channel.close()
            await self._lose()

    async def _lose(self) -> None:
        self._catalogue.mark_owner_lost(self._member.vm)
        pending = self._pending
        self._pending = {}
        lost = SubFailure(Failure.LOST, sent=True)
        for entry in pending.values():
            await entry.sink.deliver(entry.sub_id, Failed(lost))
        calls = self._calls
        self._calls = {}
        for awaited in calls.values():
            await awaited.set_value(None)

    async def _handle(self, message: Message) -> None:
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
            await self._handle_reply(message)

    async def _handle_reply(self, message: Message) -> None:
        if not isinstance(message, CommitReply):
            return
        awaited = self._calls.get(message.call_id)
        if awaited is not None:
            await awaited.set_value(message)

    async def _deliver(self, sub_id: int, outcome: SubResult) -> None:
        pending = self._pending.pop(sub_id, None)
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


def _same_request(message: Submit, request: SubRequest) -> bool:
    context = request.context
    return (
        message.request_id == context.request_id
        and message.snapshot == context.snapshot
        and not context.idempotency_key
    )


def _to_state(news: ServerStateUpdate) -> ServerState:
    indexes = {
        version: tuple(KeyRange(start, end) for start, end in ranges)
        for version, ranges in news.indexes.items()
    }
    return ServerState(news.instance, ServerPhase(news.phase), indexes)
