"""Tests of CommitExecutor with fake backend servers, in virtual time."""

from __future__ import annotations

import curio
import msgspec
from testtools import TestCase
from testtools.matchers import Equals, HasLength

from daisydyke._adapters._http_client import HttpResponse
from daisydyke._commits._commit import (
    RECORD_RETENTION_S,
    CommitExecutor,
    CommitExecutorDependencies,
)
from daisydyke._domain._choice import LatencyAwareChoice
from daisydyke._domain._model import Failure, Holder
from daisydyke.exceptions import BadRequestError
from tests.unit.test_query import QueryFixture, format_replica_id, make_fixture
from tests.virtual_time import VirtualClock, run_virtual

_BODY = b'{"service":"rota","key":3,"deadline_ms":250,"parameters":{}}'


def make_executor(fixture: QueryFixture, start: int = 1) -> CommitExecutor:
    """Return the executor of a process of entry VM ``entry0``."""
    return CommitExecutor(
        Holder('entry0', start),
        CommitExecutorDependencies(
            fixture.configuration,
            fixture.catalogue,
            fixture.route,
            LatencyAwareChoice(seed=1),
            fixture.clock,
            fixture.log,
        ),
    )


def outcome_of(response: HttpResponse) -> str:
    """Return the outcome stated in the body of a response."""
    return msgspec.json.decode(response.body)['outcome']


def run_count(fixture: QueryFixture) -> int:
    """Return the number of requests that the servers have received."""
    return sum(len(server.runs) for server in fixture.servers.values())


class TestCommitExecutor(TestCase):
    """CommitExecutor.execute()"""

    def test_runs_once_and_repeats_the_response(self) -> None:
        """A retry with the same key gets the recorded response."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            key = f'{executor.key_prefix()}swap1'
            first = await executor.execute(_BODY, key, 'r1')
            second = await executor.execute(_BODY, key, 'r2')
            self.assertThat(outcome_of(first), Equals('answered'))
            self.assertThat(second, Equals(first))
            self.assertThat(run_count(fixture), Equals(1))

        run_virtual(scenario)

    def test_retry_while_running(self) -> None:
        """A retry during the execution waits for the response."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            key = f'{executor.key_prefix()}swap1'
            tasks = [
                await curio.spawn(executor.execute(_BODY, key, 'r1'))
                for _ in range(3)
            ]
            responses = [await task.join() for task in tasks]
            self.assertThat(responses[1], Equals(responses[0]))
            self.assertThat(responses[2], Equals(responses[0]))
            self.assertThat(run_count(fixture), Equals(1))

        run_virtual(scenario)

    def test_drain(self) -> None:
        """While it drains, what runs is answered and what is new rejected."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            prefix = executor.key_prefix()
            running = await curio.spawn(
                executor.execute(_BODY, f'{prefix}old', 'r1')
            )
            await curio.sleep(0)
            drain = await curio.spawn(executor.drain)
            await curio.sleep(0)
            rejected = await executor.execute(_BODY, f'{prefix}new', 'r2')
            self.assertThat(outcome_of(rejected), Equals('not_run'))
            await drain.join()
            self.assertThat(running.terminated, Equals(True))
            repeated = await executor.execute(_BODY, f'{prefix}old', 'r3')
            self.assertThat(outcome_of(repeated), Equals('answered'))
            self.assertThat(run_count(fixture), Equals(1))

        run_virtual(scenario)

    def test_fault_table(self) -> None:
        """Each failure of a server gives its outcome after one attempt."""
        table = (
            ('frozen', 'unknown', 1),
            ('resets', 'unknown', 1),
            (Failure.SHED, 'not_run', 1),
            (Failure.COLD, 'not_run', 1),
            (Failure.DRAINING, 'not_run', 1),
        )
        for fault, outcome, submit_count in table:
            self._check_fault(fault, outcome, submit_count)

    def test_no_second_server_after_a_byte_was_sent(self) -> None:
        """After a reset no other server is tried, nor on a retry."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            for server in fixture.servers.values():
                server.resets = True
            key = f'{executor.key_prefix()}swap1'
            await executor.execute(_BODY, key, 'r1')
            for server in fixture.servers.values():
                server.resets = False
            again = await executor.execute(_BODY, key, 'r2')
            self.assertThat(outcome_of(again), Equals('unknown'))
            self.assertThat(run_count(fixture), Equals(1))

        run_virtual(scenario)

    def test_not_run_may_be_retried(self) -> None:
        """A request reported as not run can run on a retry with its key."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            key = f'{executor.key_prefix()}swap1'
            for server in fixture.servers.values():
                server.refusal = Failure.SHED
            first = await executor.execute(_BODY, key, 'r1')
            for server in fixture.servers.values():
                server.refusal = None
            second = await executor.execute(_BODY, key, 'r2')
            self.assertThat(outcome_of(first), Equals('not_run'))
            self.assertThat(outcome_of(second), Equals('answered'))

        run_virtual(scenario)

    def test_key_of_an_earlier_process(self) -> None:
        """A key of an earlier process is unknown and its request never run."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            key = f'{make_executor(fixture, 1).key_prefix()}swap1'
            response = await make_executor(fixture, 2).execute(
                _BODY,
                key,
                'r1',
            )
            self.assertThat(outcome_of(response), Equals('unknown'))
            self.assertThat(run_count(fixture), Equals(0))

        run_virtual(scenario)

    def test_key_older_than_the_retention(self) -> None:
        """A key older than the retention is unknown and never run."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            key = f'{executor.key_prefix()}swap1'
            clock.now += RECORD_RETENTION_S
            response = await executor.execute(_BODY, key, 'r2')
            self.assertThat(outcome_of(response), Equals('unknown'))
            self.assertThat(run_count(fixture), Equals(0))

        run_virtual(scenario)

    def test_record_is_kept_from_execution(self) -> None:
        """A record is kept for the full retention after its execution.

        If it expired with its key, a retry would report an unknown outcome
        although the response is known.
        """

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            key = f'{executor.key_prefix()}swap1'
            clock.now += RECORD_RETENTION_S - 1
            await executor.execute(_BODY, key, 'r1')
            clock.now += RECORD_RETENTION_S - 1
            other = f'{executor.key_prefix()}swap2'
            await executor.execute(_BODY, other, 'r2')
            again = await executor.execute(_BODY, key, 'r3')
            self.assertThat(outcome_of(again), Equals('answered'))
            self.assertThat(run_count(fixture), Equals(2))

        run_virtual(scenario)

    def test_key_with_another_body(self) -> None:
        """A key that is reused with another body runs nothing."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            key = f'{executor.key_prefix()}swap1'
            await executor.execute(_BODY, key, 'r1')
            other = _BODY.replace(b'3', b'4')
            response = await executor.execute(other, key, 'r2')
            self.assertThat(response.status, Equals(422))
            self.assertThat(run_count(fixture), Equals(1))

        run_virtual(scenario)

    def test_malformed_keys_and_bodies(self) -> None:
        """Malformed keys and bodies are rejected and run nothing."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            for malformed in ('', 'x', 'entry0.1', 'entry0.1.5.', 'e.1.2.a b'):
                try:
                    await executor.execute(_BODY, malformed, 'r1')
                except BadRequestError:
                    continue
                raise AssertionError(malformed)
            for body in (b'', b'{}', b'[]', b'{"service":1}', b'\xff'):
                key = f'{executor.key_prefix()}swap1'
                response = await executor.execute(body, key, 'r1')
                self.assertThat(outcome_of(response), Equals('not_run'))
            self.assertThat(run_count(fixture), Equals(0))

        run_virtual(scenario)

    def _check_fault(
        self,
        fault: str,
        outcome: str,
        submit_count: int,
    ) -> None:
        async def scenario(clock: VirtualClock) -> None:
            fixture = make_fixture(clock)
            executor = make_executor(fixture)
            for replica in range(2):
                server = fixture.servers[format_replica_id(0, replica)]
                server.unresponsive = fault == 'frozen'
                server.resets = fault == 'resets'
                server.refusal = fault if isinstance(fault, Failure) else None
            key = f'{executor.key_prefix()}swap1'
            response = await executor.execute(_BODY, key, 'r1')
            self.assertThat(outcome_of(response), Equals(outcome), fault)
            self.assertThat(
                fixture.route.submitted,
                HasLength(submit_count),
                fault,
            )

        run_virtual(scenario)
