"""Tests of non-idempotent requests over fake servers, in virtual time."""

from __future__ import annotations

import curio
import msgspec
from testtools import TestCase
from testtools.matchers import Equals, HasLength

from daisydyke._adapters._http_client import HttpResponse
from daisydyke._commits._commit import (
    RECORD_KEPT_S,
    CommitExecutor,
    CommitPorts,
)
from daisydyke._domain._choice import LatencyAwareChoice
from daisydyke._domain._model import Failure, Holder
from daisydyke.exceptions import BadRequestError
from tests.unit.test_query import Setting, address, make_setting
from tests.virtual_time import VirtualClock, run_virtual

_BODY = b'{"service":"rota","key":3,"deadline_ms":250,"parameters":{}}'


def make_executor(setting: Setting, start: int = 1) -> CommitExecutor:
    """Return the executor of a process of entry VM ``entry0``."""
    return CommitExecutor(
        Holder('entry0', start),
        CommitPorts(
            setting.configuration,
            setting.catalogue,
            setting.route,
            LatencyAwareChoice(seed=1),
            setting.clock,
            setting.log,
        ),
    )


def outcome_of(response: HttpResponse) -> str:
    """Return the outcome that a response states."""
    return msgspec.json.decode(response.body)['outcome']


def runs(setting: Setting) -> int:
    """Return how often any server was asked to run something."""
    return sum(len(server.runs) for server in setting.servers.values())


class TestCommitExecutor(TestCase):
    """CommitExecutor.execute()"""

    def test_runs_once_and_repeats_the_response(self) -> None:
        """A retry with the same key gets the first response."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            executor = make_executor(setting)
            key = f'{executor.key_prefix()}swap1'
            first = await executor.execute(_BODY, key, 'r1')
            second = await executor.execute(_BODY, key, 'r2')
            self.assertThat(outcome_of(first), Equals('answered'))
            self.assertThat(second, Equals(first))
            self.assertThat(runs(setting), Equals(1))

        run_virtual(scenario)

    def test_retry_while_running(self) -> None:
        """A retry that overtakes the response waits for it."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            executor = make_executor(setting)
            key = f'{executor.key_prefix()}swap1'
            tasks = [
                await curio.spawn(executor.execute(_BODY, key, 'r1'))
                for _ in range(3)
            ]
            answers = [await task.join() for task in tasks]
            self.assertThat(answers[1], Equals(answers[0]))
            self.assertThat(answers[2], Equals(answers[0]))
            self.assertThat(runs(setting), Equals(1))

        run_virtual(scenario)

    def test_fault_table(self) -> None:
        """Each failure of the servers ends in its one true outcome."""
        table = (
            ('frozen', 'unknown', 1),
            ('resets', 'unknown', 1),
            (Failure.SHED, 'not_run', 1),
            (Failure.COLD, 'not_run', 1),
            (Failure.DRAINING, 'not_run', 1),
        )
        for fault, outcome, sent in table:
            self._check_fault(fault, outcome, sent)

    def test_no_second_server_after_a_byte_was_sent(self) -> None:
        """After a reset no other server is tried, then or on a retry."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            executor = make_executor(setting)
            for server in setting.servers.values():
                server.resets = True
            key = f'{executor.key_prefix()}swap1'
            await executor.execute(_BODY, key, 'r1')
            for server in setting.servers.values():
                server.resets = False
            again = await executor.execute(_BODY, key, 'r2')
            self.assertThat(outcome_of(again), Equals('unknown'))
            self.assertThat(runs(setting), Equals(1))

        run_virtual(scenario)

    def test_not_run_may_be_retried(self) -> None:
        """What was not run can run on the caller's own retry."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            executor = make_executor(setting)
            key = f'{executor.key_prefix()}swap1'
            for server in setting.servers.values():
                server.refusal = Failure.SHED
            first = await executor.execute(_BODY, key, 'r1')
            for server in setting.servers.values():
                server.refusal = None
            second = await executor.execute(_BODY, key, 'r2')
            self.assertThat(outcome_of(first), Equals('not_run'))
            self.assertThat(outcome_of(second), Equals('answered'))

        run_virtual(scenario)

    def test_key_of_an_earlier_process(self) -> None:
        """After a restart the outcome of an old key is unknown."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            key = f'{make_executor(setting, 1).key_prefix()}swap1'
            response = await make_executor(setting, 2).execute(
                _BODY,
                key,
                'r1',
            )
            self.assertThat(outcome_of(response), Equals('unknown'))
            self.assertThat(runs(setting), Equals(0))

        run_virtual(scenario)

    def test_key_ages(self) -> None:
        """A key older than the records kept is unknown and never run."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            executor = make_executor(setting)
            key = f'{executor.key_prefix()}swap1'
            clock.now += RECORD_KEPT_S
            forgotten = await executor.execute(_BODY, key, 'r2')
            self.assertThat(outcome_of(forgotten), Equals('unknown'))
            self.assertThat(runs(setting), Equals(0))

        run_virtual(scenario)

    def test_record_outlives_the_key(self) -> None:
        """A request run with the oldest key stays on record as long."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            executor = make_executor(setting)
            key = f'{executor.key_prefix()}swap1'
            clock.now += RECORD_KEPT_S - 1
            await executor.execute(_BODY, key, 'r1')
            clock.now += RECORD_KEPT_S - 1
            other = f'{executor.key_prefix()}swap2'
            await executor.execute(_BODY, other, 'r2')
            again = await executor.execute(_BODY, key, 'r3')
            self.assertThat(outcome_of(again), Equals('answered'))
            self.assertThat(runs(setting), Equals(2))

        run_virtual(scenario)

    def test_key_with_another_body(self) -> None:
        """A key that returns with another body runs nothing."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            executor = make_executor(setting)
            key = f'{executor.key_prefix()}swap1'
            await executor.execute(_BODY, key, 'r1')
            other = _BODY.replace(b'3', b'4')
            response = await executor.execute(other, key, 'r2')
            self.assertThat(response.status, Equals(422))
            self.assertThat(runs(setting), Equals(1))

        run_virtual(scenario)

    def test_bad_input(self) -> None:
        """Malformed keys and bodies are refused and run nothing."""

        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            executor = make_executor(setting)
            for bad in ('', 'x', 'entry0.1', 'entry0.1.5.', 'e.1.2.a b'):
                try:
                    await executor.execute(_BODY, bad, 'r1')
                except BadRequestError:
                    continue
                raise AssertionError(bad)
            for body in (b'', b'{}', b'[]', b'{"service":1}', b'\xff'):
                key = f'{executor.key_prefix()}swap1'
                response = await executor.execute(body, key, 'r1')
                self.assertThat(outcome_of(response), Equals('not_run'))
            self.assertThat(runs(setting), Equals(0))

        run_virtual(scenario)

    def _check_fault(self, fault: str, outcome: str, sent: int) -> None:
        async def scenario(clock: VirtualClock) -> None:
            setting = make_setting(clock)
            executor = make_executor(setting)
            for replica in range(2):
                server = setting.servers[address(0, replica)]
                server.unresponsive = fault == 'frozen'
                server.resets = fault == 'resets'
                server.refusal = fault if isinstance(fault, Failure) else None
            key = f'{executor.key_prefix()}swap1'
            response = await executor.execute(_BODY, key, 'r1')
            self.assertThat(outcome_of(response), Equals(outcome), fault)
            self.assertThat(setting.route.submitted, HasLength(sent), fault)

        run_virtual(scenario)
