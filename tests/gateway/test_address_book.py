"""Tests of the addresses that callers are told."""

from itertools import repeat

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from daisydyke._adapters._datagrams import Member, Status
from daisydyke._members._address_book import AddressBook
from daisydyke._members._speed import has_enough_faster
from tests.gateway.world import member


class Members:
    """Stands for the membership."""

    def __init__(self, *members: Member) -> None:
        """Keep the members."""
        self.members = {one.vm: one for one in members}

    @property
    def me(self) -> Member:
        """Return the first member."""
        return next(iter(self.members.values()))

    def addressable(self) -> list[Member]:
        """Return the members that are alive."""
        return [
            one for one in self.members.values() if one.status is Status.ALIVE
        ]


class TestAddressBook(TestCase):
    """AddressBook"""

    def hosts(
        self,
        domain: str,
        *members: Member,
    ) -> set[str]:
        """Return the hosts that a caller is told."""
        book = AddressBook(Members(*members), 5)
        addresses, keep = book.addresses(domain)
        self.assertThat(keep, LessThan(5.1))
        return {address.partition(':')[0] for address in addresses}

    def test_near(self) -> None:
        """Where enough VMs are near, only those are named."""
        members = [member('a'), member('b'), member('c', domain='south')]
        self.assertThat(self.hosts('north', *members), Equals({'a', 'b'}))

    def test_too_few_near(self) -> None:
        """Where a failure domain has lost its VMs, all are named."""
        members = [member('a'), member('b'), member('c', domain='south')]
        self.assertThat(
            self.hosts('south', *members),
            Equals({'a', 'b', 'c'}),
        )

    def test_leaving_and_dead(self) -> None:
        """A VM that leaves or is dead is not named."""
        members = [
            member('a'),
            member('b', status=Status.LEAVING),
            member('c', status=Status.DEAD),
            member('d', status=Status.JOINING),
        ]
        self.assertThat(self.hosts('north', *members), Equals({'a'}))

    def test_fast(self) -> None:
        """Where enough VMs are fast, the slow ones are spared."""
        fast = [member(f'f{number}', speed=0.7) for number in range(4)]
        slow = [member(f's{number}', speed=0.3) for number in range(9)]
        named = self.hosts('north', *fast, *slow)
        self.assertThat(named, Equals({'f0', 'f1', 'f2', 'f3'}))

    def test_too_few_fast(self) -> None:
        """Where fast VMs are lost, the slow ones take over."""
        fast = [member(f'f{number}', speed=0.7) for number in range(3)]
        slow = [member(f's{number}', speed=0.3) for number in range(2)]
        named = self.hosts('north', *fast, *slow)
        self.assertThat(len(named), Equals(5))

    def test_slow_stands_by(self) -> None:
        """A slow VM is not wanted while enough fast ones are there."""
        slow = member('s', speed=0.3, status=Status.JOINING)
        fast = [member(f'f{number}', speed=0.7) for number in range(4)]
        lost = [*fast[:-1], member('f3', speed=0.7, status=Status.DEAD)]
        verdicts = [
            AddressBook(Members(slow, *others), 5).should_serve()
            for others in (fast, lost, ())
        ]
        self.assertThat(verdicts, Equals([False, True, True]))

    def test_equal_never_stand_by(self) -> None:
        """Where VMs are alike, all are wanted from the start."""
        joining = [
            member(f'a{number}', speed=0.7, status=Status.JOINING)
            for number in range(18)
        ]
        self.assertTrue(AddressBook(Members(*joining), 5).should_serve())
        self.assertFalse(has_enough_faster(0.7, tuple(repeat(0.7, 18))))
        self.assertTrue(has_enough_faster(0.3, tuple(repeat(0.7, 4))))

    def test_no_member(self) -> None:
        """Without members there is no address."""
        self.assertThat(self.hosts('north'), Equals(set()))
