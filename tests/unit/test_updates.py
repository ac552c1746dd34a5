"""Tests of buffering updates and of matching acknowledgements."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from daisydyke._adapters._datagrams import Status
from daisydyke._members._pending_acks import PendingAcks
from daisydyke._members._updates import UpdateBuffer
from tests.gateway.world import member
from tests.virtual_time import VirtualClock, run_virtual

MEMBER_COUNT = 7
# Four times the binary logarithm of one more than the members.
TRANSMISSION_COUNT = 12


class TestUpdateBuffer(TestCase):
    """UpdateBuffer"""

    def test_sent_often_enough(self) -> None:
        """An update is sent a limited number of times."""
        buffer = UpdateBuffer()
        buffer.put(member('a'))
        sent = [
            buffer.next_batch(MEMBER_COUNT)
            for _ in range(2 * TRANSMISSION_COUNT)
        ]
        self.assertThat(sum(map(len, sent)), Equals(TRANSMISSION_COUNT))

    def test_latest_only(self) -> None:
        """A later update of a member replaces the earlier one."""
        buffer = UpdateBuffer()
        buffer.put(member('a'))
        buffer.put(member('a', status=Status.DEAD))
        batch = buffer.next_batch(MEMBER_COUNT)
        self.assertThat(batch, HasLength(1))
        self.assertThat(batch[0].status, Equals(Status.DEAD))

    def test_least_sent_first(self) -> None:
        """The least sent updates are sent first."""
        buffer = UpdateBuffer()
        for number in range(6):
            buffer.put(member(f'a{number}'))
        buffer.next_batch(MEMBER_COUNT)
        buffer.put(member('new'))
        self.assertThat(buffer.next_batch(MEMBER_COUNT)[0].vm, Equals('new'))


class TestPendingAcks(TestCase):
    """PendingAcks"""

    def test_answers(self) -> None:
        """Only the ping that was acknowledged counts as answered."""

        async def scenario(clock: VirtualClock) -> list[bool]:
            acks = PendingAcks()
            answered, unanswered = acks.add(), acks.add()
            await acks.acknowledge(answered)
            return [
                await acks.wait(answered, 1),
                await acks.wait(unanswered, 1),
                await acks.wait(unanswered + 1, 1),
            ]

        self.assertThat(run_virtual(scenario), Equals([True, False, False]))
