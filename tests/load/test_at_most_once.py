"""Scenario: non-idempotent requests whose attempts fail."""

import json

from testtools import TestCase
from testtools.matchers import Equals, HasLength, IsInstance, LessThan

from daisydyke._requests._model import Forwarded, Refused, Reply, Unanswered
from tests.load.backends import (
    FakeBackends,
    ServerBehaviour,
    SimulatedGateway,
    closed_failure,
    error_reply,
    not_run_reply,
    plain_route,
)
from tests.virtual_time import VirtualClock, run_virtual

REPLICAS = 5


async def _send_post(
    clock: VirtualClock,
    behaviour: ServerBehaviour,
    others: ServerBehaviour | None = None,
) -> tuple[object, FakeBackends]:
    backends = FakeBackends(clock)
    backends.add('desk', REPLICAS)
    for server in backends.servers['desk']:
        backends.behaviours[server.server_id] = others or behaviour
    first = backends.servers['desk'][0]
    backends.behaviours[first.server_id] = behaviour
    gateway = SimulatedGateway(clock, backends, [plain_route(idempotent=False)])
    answer, _ = await gateway.send(timeout=6, method=b'POST')
    return answer, backends


class TestAtMostOnce(TestCase):
    """A non-idempotent request is only sent again if it has not run."""

    def test_lost_answer_is_not_repeated(self) -> None:
        """After a lost reply the answer leaves open whether it ran."""
        answer, backends = run_virtual(
            _send_post, ServerBehaviour(override=closed_failure)
        )
        self.assertThat(backends.submissions, HasLength(1))
        self.assertThat(answer, IsInstance(Unanswered))

    def test_log_lines_are_json(self) -> None:
        """The log line of a request that is never hedged is valid JSON.

        The hedge delay is then infinite, which JSON cannot represent.
        """

        async def _send_and_return_log(
            clock: VirtualClock,
        ) -> list[dict[str, object]]:
            backends = FakeBackends(clock)
            backends.add('desk', REPLICAS)
            gateway = SimulatedGateway(
                clock, backends, [plain_route(idempotent=False)]
            )
            await gateway.send(timeout=6, method=b'POST')
            return gateway.log.lines

        line = run_virtual(_send_and_return_log)[0]
        text = json.dumps(line, allow_nan=False)
        self.assertThat(json.loads(text)['hedge_after_ms'], Equals(None))

    def test_slow_answer_is_not_hedged(self) -> None:
        """A slow reply is awaited; no second server gets the request."""
        answer, backends = run_virtual(
            _send_post, ServerBehaviour(service_time=3.0)
        )
        self.assertThat(backends.submissions, HasLength(1))
        self.assertThat(answer, IsInstance(Forwarded))

    def test_not_run_is_retried_on_another_server(self) -> None:
        """A request that a server has not run is sent to another one."""
        shedding = ServerBehaviour(override=lambda server: not_run_reply())
        answer, backends = run_virtual(_send_post, shedding, ServerBehaviour())
        self.assertThat(answer, IsInstance(Forwarded))
        self.assertThat(len(backends.submissions), LessThan(3))

    def test_not_run_by_any_server(self) -> None:
        """A request that every server sheds is refused."""
        shedding = ServerBehaviour(override=lambda server: not_run_reply())
        answer, _ = run_virtual(_send_post, shedding)
        self.assertThat(answer, IsInstance(Refused))

    def test_error_is_returned_unchanged(self) -> None:
        """An error reply of a server is forwarded to the caller."""
        answer, backends = run_virtual(
            _send_post, ServerBehaviour(override=error_reply)
        )
        self.assertThat(backends.submissions, HasLength(1))
        self.assertThat(answer, IsInstance(Forwarded))
        self.assertThat(answer.reply.status, Equals(500))

    def test_promise_of_a_server_that_ran_it_is_not_passed_on(self) -> None:
        """A 503 reply that does not state that it has not run is unanswered.

        Forwarded, its status would tell the caller that it has not run.
        """
        unmarked = Reply(503, (), b'', 'stamp', '', False, '', 0, 60)
        behaviour = ServerBehaviour(override=lambda server: unmarked)
        answer, _ = run_virtual(_send_post, behaviour)
        self.assertThat(answer, IsInstance(Unanswered))

    def test_unsigned_success_is_not_passed_on(self) -> None:
        """A 2xx reply without a signature is no answer to the caller."""
        unsigned = Reply(200, (), b'short', '', '', False, '', 0, 60)
        behaviour = ServerBehaviour(override=lambda server: unsigned)
        answer, _ = run_virtual(_send_post, behaviour)
        self.assertThat(answer, IsInstance(Unanswered))
