"""Contract of peer links: documents and sub-requests between two VMs."""

from __future__ import annotations

import curio
from returns.result import Success
from testtools import TestCase
from testtools.matchers import Equals

from daisydyke._adapters._datagrams import Digest, Member, Status
from daisydyke._adapters._frames import Hello, Message
from daisydyke._commits._commit import CommitExecutor, CommitPorts
from daisydyke._domain._choice import LatencyAwareChoice
from daisydyke._domain._model import (
    Failure,
    Holder,
    KeyRange,
    RequestContext,
    ServerPhase,
    SubRequest,
)
from daisydyke._operations._configuration import Configuration
from daisydyke._peers._peer_link import PeerLink
from daisydyke._peers._peer_service import PeerService
from daisydyke._ports import StoredObject
from daisydyke._queries._catalogue import Catalogue
from daisydyke.exceptions import ConnectionLostError
from tests.fakes import DirectRoute, RecordingLog, SubResultRecorder
from tests.unit.test_gate import GateFixture
from tests.virtual_time import VirtualClock, run_virtual

_MEMBER = Member('b', '127.0.0.2', 'north', 1, 2, 1, 1, Status.ALIVE)


class FakeChannel:
    """One end of a channel; closing it breaks the other end."""

    def __init__(self) -> None:
        """Build an end without its other one."""
        self.incoming: curio.Queue = curio.Queue()
        self.other: FakeChannel | None = None

    async def send(self, messages: list[Message]) -> None:
        """Deliver a batch to the other end."""
        if self.other is None:
            raise ConnectionLostError('closed')
        await self.other.incoming.put(messages)

    async def receive(self) -> list[Message]:
        """Wait for a batch."""
        batch = await self.incoming.get()
        if batch is None:
            raise ConnectionLostError('closed')
        return batch

    async def close(self) -> None:
        """Break both ends."""
        if self.other is not None:
            await self.other.incoming.put(None)
            self.other.other = None
            self.other = None


class Pair:
    """VM a with a link to VM b, which owns one server."""

    def __init__(self, clock: VirtualClock) -> None:
        """Build both sides; nothing runs."""
        self.clock = clock
        self.bench = GateFixture(clock)
        self.log = RecordingLog()
        self.mine = Configuration(self.log)
        self.theirs = Configuration(self.log)
        self.catalogue = Catalogue()
        self.sink = SubResultRecorder()
        self.link = PeerLink(
            _MEMBER,
            Hello('a', 1),
            self.catalogue,
            self.mine,
            clock,
        )
        ports = CommitPorts(
            self.theirs,
            Catalogue(),
            DirectRoute({}),
            LatencyAwareChoice(seed=1),
            clock,
            self.log,
        )
        self.service = PeerService(
            'b',
            {self.bench.gate.server_id: self.bench.gate},
            Catalogue(),
            self.theirs,
            CommitExecutor(Holder('b', 1), ports),
            clock,
        )
        self.channel = FakeChannel()

    async def start(self) -> None:
        """Run both sides and wait for the connection."""
        await self.bench.gate.start()
        await curio.spawn(self.service.run_news, daemon=True)
        await curio.spawn(self.link.run, self._open, daemon=True)
        while not self.link.connected:
            await curio.sleep(0.01)

    async def submit(self, server_id: str) -> None:
        """Send a sub-request over the link."""
        context = RequestContext('r', 'rota', 1, self.clock.now + 1, b'{}')
        await self.link.submit(
            SubRequest(
                7, server_id, KeyRange(0, 10), context, wait_if_cold=True
            ),
            self.sink,
        )

    async def _open(self, host: str, port: int) -> FakeChannel:
        ends = FakeChannel(), FakeChannel()
        ends[0].other = ends[1]
        ends[1].other = ends[0]
        self.channel = ends[1]
        await curio.spawn(self.service.serve, ends[1], daemon=True)
        return ends[0]


class TestPeerLink(TestCase):
    """PeerLink against PeerService"""

    def test_answer_comes_back(self) -> None:
        """A sub-request is run by the owner and answered once."""

        async def scenario(clock: VirtualClock) -> None:
            pair = Pair(clock)
            await pair.start()
            await pair.submit(pair.bench.gate.server_id)
            await curio.sleep(1)
            outcome = pair.sink.results[7]
            self.assertThat(isinstance(outcome, Success), Equals(True))

        run_virtual(scenario)

    def test_not_the_owner(self) -> None:
        """A VM that does not own the server refuses, nothing sent."""

        async def scenario(clock: VirtualClock) -> None:
            pair = Pair(clock)
            await pair.start()
            await pair.submit('127.0.0.1:1')
            await curio.sleep(1)
            failure = pair.sink.results[7].failure()
            self.assertThat(failure.reason, Equals(Failure.FENCED))
            self.assertThat(failure.sent, Equals(False))

        run_virtual(scenario)

    def test_broken_link(self) -> None:
        """When the link breaks, what was sent may have been run."""

        async def scenario(clock: VirtualClock) -> None:
            pair = Pair(clock)
            await pair.start()
            pair.bench.server.unresponsive = True
            await pair.submit(pair.bench.gate.server_id)
            await curio.sleep(0.1)
            await pair.channel.close()
            await curio.sleep(0.1)
            failure = pair.sink.results[7].failure()
            self.assertThat(failure.reason, Equals(Failure.LOST))
            self.assertThat(failure.sent, Equals(True))
            state = pair.catalogue.state(pair.bench.gate.server_id)
            self.assertThat(state.phase, Equals(ServerPhase.LOST))

        run_virtual(scenario)

    def test_commit_is_forwarded(self) -> None:
        """A commit whose key names the other VM is answered there."""

        async def scenario(clock: VirtualClock) -> None:
            pair = Pair(clock)
            await pair.start()
            key = f'b.1.{int(clock.now * 1000)}.swap'
            response = await pair.link.forward_commit(b'{}', key, 'r1')
            self.assertThat(response.status, Equals(400))

        run_virtual(scenario)

    def test_commit_on_a_broken_link(self) -> None:
        """When the link breaks under a commit, nobody knows of it."""

        async def scenario(clock: VirtualClock) -> None:
            pair = Pair(clock)
            await pair.start()
            await pair.channel.close()
            key = f'b.1.{int(clock.now * 1000)}.swap'
            response = await pair.link.forward_commit(b'{}', key, 'r1')
            self.assertThat(response, Equals(None))

        run_virtual(scenario)

    def test_documents_are_fetched(self) -> None:
        """A VM behind fetches newer documents, whole if need be."""

        async def scenario(clock: VirtualClock) -> None:
            pair = Pair(clock)
            text = b'{"state":"out"}'
            pair.theirs.apply(
                [StoredObject('switch', 'domain-north', 5, text)],
            )
            await pair.start()
            await pair.link.request_sync(0)
            await curio.sleep(0.1)
            self.assertThat(pair.mine.out_domains, Equals({'north'}))
            self.assertThat(
                Digest(pair.mine.version, pair.mine.digest),
                Equals(Digest(pair.theirs.version, pair.theirs.digest)),
            )

        run_virtual(scenario)
