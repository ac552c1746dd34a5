"""Tests of queries over fake servers, in virtual time."""

from __future__ import annotations

import json
from dataclasses import dataclass

import curio
from returns.result import Result
from testtools import TestCase
from testtools.matchers import Equals, HasLength, IsInstance, LessThan

from daisydyke._adapters._observability import NullMetrics
from daisydyke._domain._choice import LatencyAwareChoice
from daisydyke._domain._latency import EstimatedHedge
from daisydyke._domain._model import (
    Failure,
    KeyRange,
    ServerPhase,
    ServerState,
    SubAnswer,
)
from daisydyke._operations._configuration import Configuration
from daisydyke._ports import StoredObject
from daisydyke._queries._catalogue import Catalogue
from daisydyke._queries._fan_out import QueryPorts
from daisydyke._queries._progress import Answer, ResultQueue
from daisydyke._queries._query import Query, QueryService
from daisydyke.exceptions import (
    CallerError,
    CoverageTooLowError,
    NoSnapshotError,
    UnknownResourceError,
)
from tests.fakes import DirectRoute, FakeServer, RecordingLog
from tests.virtual_time import VirtualClock, run_virtual

_WIDTH = 10
_DOMAINS = ('north', 'centre', 'south')


def address(position: int, replica: int) -> str:
    """Return the identifier of a replica of a range."""
    host = f'127.0.{replica}.{position}'
    return f'{host}:9000'


def document(ranges: int, minimum_coverage: float = 0) -> bytes:
    """Return a team's document with two servers for each range."""
    servers = [
        {
            'address': address(position, replica),
            'domain': _DOMAINS[(position + replica) % 3],
        }
        for position in range(ranges)
        for replica in range(2)
    ]
    return json.dumps(
        {
            'name': 'rota',
            'keys': ranges * _WIDTH,
            'servers': servers,
            'limits': {'slots': 2, 'connections': 60},
            'answers': {'minimum_coverage': minimum_coverage},
        },
    ).encode()


@dataclass
class Setting:
    """A query service over fake servers."""

    clock: VirtualClock
    servers: dict[str, FakeServer]
    catalogue: Catalogue
    configuration: Configuration
    route: DirectRoute
    queries: QueryService
    log: RecordingLog

    async def ask(
        self,
        timeout: float = 0.25,
    ) -> Result[Answer, CallerError]:
        """Send a query."""
        return await self.queries.run(Query('r1', 'rota', timeout, b'{}'))

    async def warm_up(self, count: int = 20) -> None:
        """Answer queries until the latency estimate rests on samples."""
        for _ in range(count):
            await self.ask()

    def tell_catalogue(self) -> None:
        """Let the catalogue know what the servers serve now."""
        for server_id, server in self.servers.items():
            state = ServerState(
                server.instance,
                ServerPhase.WARM,
                dict(server.indexes),
            )
            self.catalogue.put(server_id, state, 'entry0')


def make_setting(
    clock: VirtualClock,
    ranges: int = 4,
    minimum_coverage: float = 0,
) -> Setting:
    """Return a setting in which every range has two good replicas."""
    servers = {
        address(position, replica): FakeServer(
            {1: (KeyRange(position * _WIDTH, (position + 1) * _WIDTH),)},
        )
        for position in range(ranges)
        for replica in range(2)
    }
    log = RecordingLog()
    configuration = Configuration(log)
    text = document(ranges, minimum_coverage)
    configuration.apply([StoredObject('service', 'rota', 1, text)])
    catalogue = Catalogue()
    route = DirectRoute(servers)
    queries = QueryService(
        QueryPorts(
            configuration,
            catalogue,
            route,
            LatencyAwareChoice(seed=1),
            EstimatedHedge(),
            clock,
            log,
            NullMetrics(),
        ),
    )
    setting = Setting(
        clock,
        servers,
        catalogue,
        configuration,
        route,
        queries,
        log,
    )
    setting.tell_catalogue()
    return setting


def freeze_preferred(setting: Setting, position: int) -> None:
    """Freeze the replica of a range that the next query will try first."""
    evidence = setting.catalogue.evidence(address(position, 1))
    evidence.record_abandoned(5, setting.clock.now)
    setting.servers[address(position, 0)].unresponsive = True


class TestQueryService(TestCase):
    """QueryService.run()"""

    def test_whole_answer(self) -> None:
        """Every range is answered once, from one snapshot."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            answer = (await setting.ask()).unwrap()
            self.assertThat(answer.share, Equals(1))
            self.assertThat(answer.missing, Equals(()))
            self.assertThat(
                sorted(answer.rows),
                Equals([b'["0@1"]', b'["10@1"]', b'["20@1"]', b'["30@1"]']),
            )
            self.assertThat(setting.route.submitted, HasLength(4))

        run_virtual(scenario)

    def test_hedge_wins_over_straggler(self) -> None:
        """A frozen replica costs one hedge, not the answer."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            await setting.warm_up()
            freeze_preferred(setting, 0)
            started = clock.now
            answer = (await setting.ask()).unwrap()
            self.assertThat(answer.share, Equals(1))
            self.assertThat(clock.now - started, LessThan(0.06))
            self.assertThat(answer.extra, Equals(1))
            self.assertThat(setting.route.cancelled, HasLength(1))

        run_virtual(scenario)

    def test_extra_load_is_bounded(self) -> None:
        """When all servers are slow, hedges stay within their budget."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            await setting.warm_up()
            for server in setting.servers.values():
                server.service_time_s = 0.2
            before = len(setting.route.submitted)
            for _ in range(100):
                await setting.ask()
            sent = len(setting.route.submitted) - before
            self.assertThat(sent, LessThan(400 * 1.02 + 21))

        run_virtual(scenario)

    def test_missing_range_is_stated(self) -> None:
        """With both replicas silent the range is missing, as late."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            for replica in range(2):
                setting.servers[address(0, replica)].unresponsive = True
            answer = (await setting.ask()).unwrap()
            self.assertThat(answer.share, Equals(0.75))
            self.assertThat(answer.missing, HasLength(1))
            missing = answer.missing[0]
            self.assertThat(missing.keys, Equals(KeyRange(0, 10)))
            self.assertThat(missing.reason, Equals(Failure.LATE))

        run_virtual(scenario)

    def test_answers_by_the_deadline(self) -> None:
        """A straggler without a replica does not hold the answer back."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            for replica in range(2):
                setting.servers[address(0, replica)].unresponsive = True
            started = clock.now
            await setting.ask(0.1)
            self.assertThat(clock.now - started, LessThan(0.1001))

        run_virtual(scenario)

    def test_coverage_too_low(self) -> None:
        """Below the team's least coverage the answer is a refusal."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock, minimum_coverage=0.9)
            for replica in range(2):
                setting.servers[address(0, replica)].unresponsive = True
            outcome = await setting.ask()
            self.assertThat(
                outcome.failure(),
                IsInstance(CoverageTooLowError),
            )

        run_virtual(scenario)

    def test_version_gone_everywhere_restarts(self) -> None:
        """A snapshot that vanishes under the query is replaced whole."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            for server in setting.servers.values():
                server.indexes[2] = server.indexes[1]
            setting.tell_catalogue()
            for server in setting.servers.values():
                server.indexes.pop(2)
            answer = (await setting.ask()).unwrap()
            self.assertThat(answer.snapshot, Equals(1))
            self.assertThat(answer.share, Equals(1))
            self.assertThat(
                all(rows.endswith(b'@1"]') for rows in answer.rows),
                Equals(True),
            )

        run_virtual(scenario)

    def test_version_gone_on_one_replica(self) -> None:
        """A replica that lacks the snapshot is passed over."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            for position in range(4):
                setting.servers[address(position, 0)].indexes = {}
            answer = (await setting.ask()).unwrap()
            self.assertThat(answer.share, Equals(1))
            self.assertThat(answer.snapshot, Equals(1))

        run_virtual(scenario)

    def test_domain_out_gets_nothing(self) -> None:
        """Servers of a domain that is out get no sub-request."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            switch = StoredObject(
                'switch',
                'domain-north',
                2,
                b'{"state":"out"}',
            )
            setting.configuration.apply([switch])
            answer = (await setting.ask()).unwrap()
            self.assertThat(answer.share, Equals(1))
            north = {
                spec.server_id
                for spec in setting.configuration.services['rota'].servers
                if spec.domain == 'north'
            }
            used = {one.server_id for one in setting.route.submitted}
            self.assertThat(used & north, Equals(set()))

        run_virtual(scenario)

    def test_all_domains_out(self) -> None:
        """With every server out, all is missing, as out of service."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            setting.configuration.apply(
                StoredObject(
                    'switch',
                    f'domain-{domain}',
                    2 + number,
                    b'{"state":"out"}',
                )
                for number, domain in enumerate(_DOMAINS)
            )
            answer = (await setting.ask()).unwrap()
            self.assertThat(answer.share, Equals(0))
            self.assertThat(
                {missing.reason for missing in answer.missing},
                Equals({Failure.OUT_OF_SERVICE}),
            )

        run_virtual(scenario)

    def test_reset_is_retried_on_the_replica(self) -> None:
        """A lost connection is retried elsewhere, within the budget."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            for position in range(4):
                setting.servers[address(position, 0)].resets = True
            answer = (await setting.ask()).unwrap()
            self.assertThat(answer.share, Equals(1))

        run_virtual(scenario)

    def test_unknown_service(self) -> None:
        """A service that no document describes is refused."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            outcome = await setting.queries.run(Query('r', 'x', 1, b'{}'))
            self.assertThat(
                outcome.failure(),
                IsInstance(UnknownResourceError),
            )

        run_virtual(scenario)

    def test_no_snapshot(self) -> None:
        """While no server is known, the query is refused."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            for server in setting.servers.values():
                server.indexes = {}
            setting.tell_catalogue()
            outcome = await setting.ask()
            self.assertThat(outcome.failure(), IsInstance(NoSnapshotError))

        run_virtual(scenario)

    def test_decisions_are_logged(self) -> None:
        """Each attempt leaves a line with the evidence and the choice."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            await setting.ask()
            lines = setting.log.events('route')
            self.assertThat(lines, HasLength(4))
            self.assertThat(lines[0]['candidates'], HasLength(2))

        run_virtual(scenario)


class TestCrossedResponses(TestCase):
    """Late and crossed results of sub-requests"""

    def test_late_result_of_an_earlier_query(self) -> None:
        """A result whose id is not the query's own is dropped."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock, ranges=1)
            original = ResultQueue.next

            async def crossed(
                queue: ResultQueue,
                timeout: float,
            ) -> object:
                foreign = (999, SubAnswer(b'["foreign"]', 'x'))
                if not getattr(queue, 'seen', False):
                    queue.seen = True  # type: ignore[attr-defined]
                    return foreign
                return await original(queue, timeout)

            ResultQueue.next = crossed  # type: ignore[method-assign]
            try:
                answer = (await setting.ask()).unwrap()
            finally:
                ResultQueue.next = original  # type: ignore[method-assign]
            self.assertThat(answer.rows, Equals((b'["0@1"]',)))

        run_virtual(scenario)

    def test_queries_side_by_side(self) -> None:
        """Queries that overlap each get the answers to their own."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock, ranges=2)
            tasks = [
                await curio.spawn(
                    setting.queries.run(
                        Query(f'r{number}', 'rota', 0.25, b'{}'),
                    ),
                )
                for number in range(8)
            ]
            for number, task in enumerate(tasks):
                answer = (await task.join()).unwrap()
                self.assertThat(answer.request_id, Equals(f'r{number}'))
                self.assertThat(answer.rows, HasLength(2))

        run_virtual(scenario)
