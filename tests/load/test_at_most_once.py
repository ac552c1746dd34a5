"""Pattern: servers lose answers of requests that must not be repeated."""

import json

from testtools import TestCase
from testtools.matchers import Equals, HasLength, IsInstance, LessThan

from daisydyke._requests._model import Forwarded, Refused, Reply, Unanswered
from tests.load.backends import (
    Backends,
    Behaviour,
    Gateway,
    error,
    lost,
    plain_route,
    refusal,
)
from tests.virtual_time import VirtualClock, run_virtual

REPLICAS = 5


async def _post(
    clock: VirtualClock,
    behaviour: Behaviour,
    others: Behaviour | None = None,
) -> tuple[object, Backends]:
    backends = Backends(clock)
    backends.add('desk', REPLICAS)
    for server in backends.servers['desk']:
        backends.behaviours[server.server_id] = others or behaviour
    first = backends.servers['desk'][0]
    backends.behaviours[first.server_id] = behaviour
    gateway = Gateway(clock, backends, [plain_route(idempotent=False)])
    answer, _ = await gateway.ask(timeout=6, method=b'POST')
    return answer, backends


class TestAtMostOnce(TestCase):
    """A request that must not be repeated is sent again only if not run."""

    def test_lost_answer_is_not_repeated(self) -> None:
        """A request whose answer was lost ends without a promise."""
        answer, backends = run_virtual(_post, Behaviour(fails=lost))
        self.assertThat(backends.arrivals, HasLength(1))
        self.assertThat(answer, IsInstance(Unanswered))

    def test_lines_are_json(self) -> None:
        """What is logged of a request without hedges can be read again."""

        async def _logged(clock: VirtualClock) -> list[dict[str, object]]:
            backends = Backends(clock)
            backends.add('desk', REPLICAS)
            gateway = Gateway(clock, backends, [plain_route(idempotent=False)])
            await gateway.ask(timeout=6, method=b'POST')
            return gateway.log.lines

        line = run_virtual(_logged)[0]
        text = json.dumps(line, allow_nan=False)
        self.assertThat(json.loads(text)['hedge_after_ms'], Equals(None))

    def test_slow_answer_is_not_hedged(self) -> None:
        """A slow server is waited for."""
        answer, backends = run_virtual(_post, Behaviour(work=3.0))
        self.assertThat(backends.arrivals, HasLength(1))
        self.assertThat(answer, IsInstance(Forwarded))

    def test_refused_goes_to_another_server(self) -> None:
        """What a server has not run may go to another one."""
        shed = Behaviour(fails=lambda server: refusal())
        answer, backends = run_virtual(_post, shed, Behaviour())
        self.assertThat(answer, IsInstance(Forwarded))
        self.assertThat(len(backends.arrivals), LessThan(3))

    def test_refused_by_all(self) -> None:
        """Where every server sheds, the caller is told that nothing ran."""
        shed = Behaviour(fails=lambda server: refusal())
        answer, _ = run_virtual(_post, shed)
        self.assertThat(answer, IsInstance(Refused))

    def test_error_is_returned_unchanged(self) -> None:
        """A server's own error goes to the caller."""
        answer, backends = run_virtual(_post, Behaviour(fails=error))
        self.assertThat(backends.arrivals, HasLength(1))
        self.assertThat(answer, IsInstance(Forwarded))
        self.assertThat(answer.reply.status, Equals(500))

    def test_promise_of_a_server_that_ran_it_is_not_passed_on(self) -> None:
        """A 503 without the sign that nothing ran is no promise."""
        claim = Reply(503, (), b'', 'stamp', '', False, '', 0, 60)
        behaviour = Behaviour(fails=lambda server: claim)
        answer, _ = run_virtual(_post, behaviour)
        self.assertThat(answer, IsInstance(Unanswered))
