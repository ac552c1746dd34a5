"""Tests of the changes that members pass on."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from daisydyke._adapters._datagrams import Status
from daisydyke._members._pending_acks import PendingAcks
from daisydyke._members._updates import UpdateBuffer
from tests.gateway.world import member
from tests.virtual_time import VirtualClock, run_virtual

MEMBERS = 7
# Four times the logarithm of the members and this VM.
TRANSMISSIONS = 12


class TestUpdateBuffer(TestCase):
    """UpdateBuffer"""

    def test_sent_often_enough(self) -> None:
        """A change is sent a number of times and then no more."""
        buffer = UpdateBuffer()
        buffer.put(member('a'))
        sent = [buffer.take(MEMBERS) for _ in range(2 * TRANSMISSIONS)]
        self.assertThat(sum(map(len, sent)), Equals(TRANSMISSIONS))

    def test_latest_only(self) -> None:
        """A later change of a member replaces the earlier one."""
        buffer = UpdateBuffer()
        buffer.put(member('a'))
        buffer.put(member('a', status=Status.DEAD))
        found = buffer.take(MEMBERS)
        self.assertThat(found, HasLength(1))
        self.assertThat(found[0].status, Equals(Status.DEAD))

    def test_least_sent_first(self) -> None:
        """A datagram is filled with what was sent least."""
        buffer = UpdateBuffer()
        for number in range(6):
            buffer.put(member(f'a{number}'))
        buffer.take(MEMBERS)
        buffer.put(member('new'))
        self.assertThat(buffer.take(MEMBERS)[0].vm, Equals('new'))


class TestPendingAcks(TestCase):
    """PendingAcks"""

    def test_answers(self) -> None:
        """An answer is seen by who waits, another one's is not."""

        async def _run(clock: VirtualClock) -> list[bool]:
            acks = PendingAcks()
            answered, unanswered = acks.add(), acks.add()
            await acks.acknowledge(answered)
            return [
                await acks.wait(answered, 1),
                await acks.wait(unanswered, 1),
                await acks.wait(unanswered + 1, 1),
            ]

        self.assertThat(run_virtual(_run), Equals([True, False, False]))
