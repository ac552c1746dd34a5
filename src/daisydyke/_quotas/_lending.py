"""Loans of the lenders' shares of the customers' limits.

Some of the VMs that serve requests are lenders, each of which owns an equal
share of every limit. For each customer, all VMs rank the lenders in the same
order. A lender lends its share of the customer's limit to the first VM of the
ranking that it hears: the VM that it takes for the customer's leader.

A lender sends one loan for all customers, which states which lenders it does
not hear; who receives it derives from that for which customers the share is
lent to it. A loan is valid for a limited time, and a leader uses a share only
once an earlier loan of it to another VM has expired. So no share is used twice
at a time, although the VMs do not agree on a leader.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from xxhash import xxh3_64_intdigest

from .._domain._rendezvous import rank
from .._ports import Clock
from .._reports._section import Reporter
from ._messages import ClockAnswer, Loan

LOAN_INTERVAL_S = 0.4
# So that two loans in a row may be lost or late.
LOAN_VALIDITY_S = 1.4
# Longer than the validity: a loan seems to be sent later than it was, by the
# transit time of the fastest loan.
TAKEOVER_DELAY_S = 1.7
# Loans that seem to have travelled longer are late, or the lender's clock stood
# still or is slower than this VM's.
_LATE_S = 0.2
# The loans that each VM receives do not grow with the fleet beyond this.
_MAXIMUM_LENDER_COUNT = 15
_MAXIMUM_RANKING_COUNT = 4096


@dataclass(slots=True)
class _Lender:
    """Latest loan of a lender.

    Parameters:
        start: number of the lender's process, see Reporter.
        offset_s: what to add to a time of the lender's clock to get one of
            this VM's clock; the smallest that a loan has shown, since it
            includes the loan's transit time.
        proven_offset_s: lower bound of that difference, from an answer of the
            lender's clock.
        continuous_since: time since which its loans have been valid without a
            gap, and say that it hears this VM; None if they do not.
    """

    start: int
    offset_s: float
    loan: Loan
    continuous_since: float | None = None
    proven_offset_s: float = -math.inf

    @property
    def sent_at(self) -> float:
        """Time at which the loan was sent, by this VM's clock."""
        return self.loan.sent_s + self.offset_s

    @property
    def expires_at(self) -> float:
        """Time until which the loan is valid, by this VM's clock."""
        return self.sent_at + LOAN_VALIDITY_S


class Lending:
    """Loans of this VM and of the other lenders.

    Parameters:
        me: this process.
        serving_vms: returns the names of all VMs that serve requests, those
            out of touch and this one included; empty until they are known.
            Some of them are the lenders.
    """

    def __init__(
        self,
        me: Reporter,
        serving_vms: Callable[[], Sequence[str]],
        clock: Clock,
    ) -> None:
        """Initialize without loans."""
        self._me = me
        self._list_serving_vms = serving_vms
        self._clock = clock
        self._serving_vms: tuple[str, ...] = ()
        self._lender_names: tuple[str, ...] = ()
        self._lenders_digest = 0
        self._lenders_since: float = 0
        self._unheard_since: dict[str, float] = {}
        self._rankings: dict[str, list[str]] = {}
        self._lenders: dict[str, _Lender] = {}

    @property
    def vm(self) -> str:
        """Name of this VM."""
        return self._me.vm

    @property
    def serving_vms(self) -> tuple[str, ...]:
        """Names of all VMs that serve requests, as of the latest loan."""
        return self._serving_vms

    @property
    def lender_count(self) -> int:
        """Number of lenders, each of which owns an equal share."""
        return len(self._lender_names)

    def renew(self, *, is_leaving: bool = False) -> Loan | None:
        """Return a new loan of this VM, after recording it here.

        Parameters:
            is_leaving: whether this VM should lead no customer any more.

        Returns:
            The loan; None if this VM is not a lender.
        """
        self._update_lenders()
        if self.vm not in self._lender_names:
            return None
        now = self._clock.monotonic()
        unheard = {
            name
            for name in self._lender_names
            if name != self.vm and not self._hears(name)
        }
        if is_leaving:
            unheard.add(self.vm)
        before = self._unheard_since
        self._unheard_since = {name: before.get(name, now) for name in unheard}
        loan = Loan(
            now, self._lenders_digest, self._lenders_since, self._unheard_since
        )
        self.record(self._me, loan)
        return loan

    def record(self, reporter: Reporter, loan: Loan) -> None:
        """Record a loan of a lender, unless a later one is known."""
        now = self._clock.monotonic()
        known = self._lenders.get(reporter.vm)
        if known is not None and _is_older(reporter.start, loan, known):
            return
        offset_s = now - loan.sent_s
        if known is not None and reporter.start == known.start:
            known_offset_s = max(known.offset_s, known.proven_offset_s)
            offset_s = min(offset_s, known_offset_s)
        lender = _Lender(reporter.start, offset_s, loan)
        if self.vm not in loan.unheard:
            lender.continuous_since = _continuous_since(lender, known)
        self._lenders[reporter.vm] = lender

    def seems_late(self, name: str) -> bool:
        """Return whether the latest loan of a lender seems to be old."""
        lender = self._lenders.get(name)
        if lender is None:
            return False
        return self._clock.monotonic() - lender.sent_at > _LATE_S

    def record_clock(self, reporter: Reporter, answer: ClockAnswer) -> None:
        """Record the answer of a lender's clock.

        The lender read its clock after this VM's question, so the difference
        of the clocks is at least ``asked_s - clock_s``. ``record`` applies it
        to the next loan.
        """
        lender = self._lenders.get(reporter.vm)
        if lender is not None and lender.start == reporter.start:
            lender.proven_offset_s = answer.asked_s - answer.clock_s

    def leader(self, customer: str) -> str | None:
        """Return the VM that this VM takes for a customer's leader."""
        for name in self._ranking(customer):
            if self._hears(name):
                return name
        return None

    def lent_since(self, customer: str) -> list[float]:
        """Return since when each share of a customer is lent to this VM.

        Returns:
            For each lender whose valid loan lends its share to this VM, the
            time since which its loans have done so without a gap.
        """
        ranking = self._ranking(customer)
        if self.vm not in ranking:
            return []
        preferred = ranking[: ranking.index(self.vm)]
        times = map(partial(self._lent_by_since, preferred), self._lender_names)
        return [since for since in times if since is not None]

    def oldest_loan_age(self) -> float:
        """Return the age in seconds of the latest loan of a lender.

        It is that of the lender whose latest loan is the oldest; 0 without
        any loan.
        """
        now = self._clock.monotonic()
        return max(
            (
                now - lender.sent_at
                for name, lender in self._lenders.items()
                if name in self._lender_names
            ),
            default=0,
        )

    def _lent_by_since(
        self, preferred: Sequence[str], name: str
    ) -> float | None:
        lender = self._lenders.get(name)
        if lender is None or lender.loan.lenders != self._lenders_digest:
            return None
        if lender.expires_at < self._clock.monotonic():
            return None
        return _lent_since(lender, preferred)

    def _hears(self, name: str) -> bool:
        lender = self._lenders.get(name)
        if lender is None or name in lender.loan.unheard:
            return False
        return lender.expires_at >= self._clock.monotonic()

    def _ranking(self, customer: str) -> list[str]:
        ranking = self._rankings.get(customer)
        if ranking is None:
            if len(self._rankings) >= _MAXIMUM_RANKING_COUNT:
                self._rankings.clear()
            ranking = rank(customer, self._lender_names)
            self._rankings[customer] = ranking
        return ranking

    def _update_lenders(self) -> None:
        serving_vms = tuple(sorted(self._list_serving_vms()))
        if serving_vms == self._serving_vms:
            return
        self._serving_vms = serving_vms
        ranked = rank('', serving_vms)
        names = tuple(sorted(ranked[:_MAXIMUM_LENDER_COUNT]))
        self._lender_names = names
        self._lenders_since = self._clock.monotonic()
        self._lenders_digest = xxh3_64_intdigest('\n'.join(names).encode())
        self._rankings.clear()
        self._lenders = {
            name: lender
            for name, lender in self._lenders.items()
            if name in names
        }


def _is_older(start: int, loan: Loan, known: _Lender) -> bool:
    if start != known.start:
        return start < known.start
    return loan.sent_s <= known.loan.sent_s


def _continuous_since(lender: _Lender, before: _Lender | None) -> float:
    """Return since when the loans of a lender have been valid without a gap."""
    if (
        before is None
        or before.continuous_since is None
        or before.start != lender.start
        or before.expires_at < lender.sent_at
    ):
        return lender.sent_at
    return before.continuous_since


def _lent_since(lender: _Lender, preferred: Sequence[str]) -> float | None:
    """Return since when a lender has lent its share to this VM alone.

    A loan that has not arrived may have lent the share to another VM.
    Therefore each loan states since when its content has been the same.

    Parameters:
        preferred: VMs before this one in the ranking; the share is lent to
            this VM only if the lender hears none of them.
    """
    if lender.continuous_since is None:
        return None
    lender_times = [lender.loan.lenders_since_s]
    for name in preferred:
        unheard_since_s = lender.loan.unheard.get(name)
        if unheard_since_s is None:
            return None
        lender_times.append(unheard_since_s)
    unchanged_since = max(lender_times) + lender.offset_s
    return max(lender.continuous_since, unchanged_since)
