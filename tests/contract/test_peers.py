"""Tests of PeerLink against PeerService, over an in-memory channel."""

from __future__ import annotations

import curio
from returns.result import Success
from testtools import TestCase
from testtools.matchers import Equals

from daisydyke._adapters._datagrams import Digest, Member, Status
from daisydyke._adapters._frames import Hello, Message
from daisydyke._commits._commit import (
    CommitExecutor,
    CommitExecutorDependencies,
)
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

_REMOTE_MEMBER = Member('b', '127.0.0.2', 'north', 1, 2, 1, 1, Status.ALIVE)


class FakeChannel:
    """One end of an in-memory channel; closing it closes the other one."""

    def __init__(self) -> None:
        """Initialize an end that is not connected."""
        self.incoming: curio.Queue = curio.Queue()
        self.other_end: FakeChannel | None = None

    async def send(self, messages: list[Message]) -> None:
        """Send a batch to the other end."""
        if self.other_end is None:
            raise ConnectionLostError('closed')
        await self.other_end.incoming.put(messages)

    async def receive(self) -> list[Message]:
        """Wait for a batch."""
        batch = await self.incoming.get()
        if batch is None:
            raise ConnectionLostError('closed')
        return batch

    async def close(self) -> None:
        """Close both ends."""
        if self.other_end is not None:
            await self.other_end.incoming.put(None)
            self.other_end.other_end = None
            self.other_end = None


class LinkedVms:
    """VM ``a`` with a link to VM ``b``, which owns one server."""

    def __init__(self, clock: VirtualClock) -> None:
        """Initialize both VMs; ``start`` runs and connects them."""
        self.clock = clock
        self.gate_fixture = GateFixture(clock)
        self.log = RecordingLog()
        self.local_configuration = Configuration(self.log)
        self.remote_configuration = Configuration(self.log)
        self.catalogue = Catalogue()
        self.sink = SubResultRecorder()
        self.link = PeerLink(
            _REMOTE_MEMBER,
            Hello('a', 1),
            self.catalogue,
            self.local_configuration,
            clock,
        )
        dependencies = CommitExecutorDependencies(
            self.remote_configuration,
            Catalogue(),
            DirectRoute({}),
            LatencyAwareChoice(seed=1),
            clock,
            self.log,
        )
        self.service = PeerService(
            'b',
            {self.gate_fixture.gate.server_id: self.gate_fixture.gate},
            Catalogue(),
            self.remote_configuration,
            CommitExecutor(Holder('b', 1), dependencies),
            clock,
        )
        self.channel = FakeChannel()

    async def start(self) -> None:
        """Run both VMs and wait until the link is connected."""
        await self.gate_fixture.gate.start()
        await curio.spawn(self.service.run_state_updates, daemon=True)
        await curio.spawn(self.link.run, self._open_channel, daemon=True)
        while not self.link.connected:
            await curio.sleep(0.01)

    async def submit(self, server_id: str) -> None:
        """Submit the sub-request with identifier 7 over the link."""
        context = RequestContext('r', 'rota', 1, self.clock.now + 1, b'{}')
        await self.link.submit(
            SubRequest(
                7, server_id, KeyRange(0, 10), context, wait_if_cold=True
            ),
            self.sink,
        )

    async def _open_channel(self, host: str, port: int) -> FakeChannel:
        ends = FakeChannel(), FakeChannel()
        ends[0].other_end = ends[1]
        ends[1].other_end = ends[0]
        self.channel = ends[1]
        await curio.spawn(self.service.serve, ends[1], daemon=True)
        return ends[0]


class TestPeerLink(TestCase):
    """PeerLink with PeerService"""

    def test_answer_is_delivered(self) -> None:
        """The owner runs a sub-request and its answer is delivered once."""

        async def scenario(clock: VirtualClock) -> None:
            vms = LinkedVms(clock)
            await vms.start()
            await vms.submit(vms.gate_fixture.gate.server_id)
            await curio.sleep(1)
            outcome = vms.sink.results[7]
            self.assertThat(isinstance(outcome, Success), Equals(True))

        run_virtual(scenario)

    def test_non_owner_refuses(self) -> None:
        """A VM that does not own the server refuses; nothing is sent."""

        async def scenario(clock: VirtualClock) -> None:
            vms = LinkedVms(clock)
            await vms.start()
            await vms.submit('127.0.0.1:1')
            await curio.sleep(1)
            failure = vms.sink.results[7].failure()
            self.assertThat(failure.reason, Equals(Failure.FENCED))
            self.assertThat(failure.sent, Equals(False))

        run_virtual(scenario)

    def test_lost_link(self) -> None:
        """On loss of the link, its sub-requests and servers are lost.

        The owner may have run the sub-request, so it is reported as sent.
        """

        async def scenario(clock: VirtualClock) -> None:
            vms = LinkedVms(clock)
            await vms.start()
            vms.gate_fixture.server.unresponsive = True
            await vms.submit(vms.gate_fixture.gate.server_id)
            await curio.sleep(0.1)
            await vms.channel.close()
            await curio.sleep(0.1)
            failure = vms.sink.results[7].failure()
            self.assertThat(failure.reason, Equals(Failure.LOST))
            self.assertThat(failure.sent, Equals(True))
            state = vms.catalogue.state(vms.gate_fixture.gate.server_id)
            self.assertThat(state.phase, Equals(ServerPhase.LOST))

        run_virtual(scenario)

    def test_commit_is_forwarded(self) -> None:
        """A forwarded commit gets the response of the VM its key names."""

        async def scenario(clock: VirtualClock) -> None:
            vms = LinkedVms(clock)
            await vms.start()
            key = f'b.1.{int(clock.now * 1000)}.swap'
            response = await vms.link.forward_commit(b'{}', key, 'r1')
            self.assertThat(response.status, Equals(400))

        run_virtual(scenario)

    def test_commit_on_a_lost_link(self) -> None:
        """A commit on a lost link returns None, as its outcome is unknown."""

        async def scenario(clock: VirtualClock) -> None:
            vms = LinkedVms(clock)
            await vms.start()
            await vms.channel.close()
            key = f'b.1.{int(clock.now * 1000)}.swap'
            response = await vms.link.forward_commit(b'{}', key, 'r1')
            self.assertThat(response, Equals(None))

        run_virtual(scenario)

    def test_documents_are_fetched(self) -> None:
        """A VM that requests documents after version 0 gets and applies all."""

        async def scenario(clock: VirtualClock) -> None:
            vms = LinkedVms(clock)
            text = b'{"state":"out"}'
            vms.remote_configuration.apply(
                [StoredObject('switch', 'domain-north', 5, text)],
            )
            await vms.start()
            await vms.link.request_sync(0)
            await curio.sleep(0.1)
            self.assertThat(
                vms.local_configuration.out_domains,
                Equals({'north'}),
            )
            self.assertThat(
                Digest(
                    vms.local_configuration.version,
                    vms.local_configuration.digest,
                ),
                Equals(
                    Digest(
                        vms.remote_configuration.version,
                        vms.remote_configuration.digest,
                    ),
                ),
            )

        run_virtual(scenario)
