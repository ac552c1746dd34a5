"""Construction of the limits on customers' rates."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from .._adapters._datagrams import Status
from .._members._address_book import AddressBook
from .._members._membership import Membership
from .._ports import Clock, DecisionLog, Metrics
from .._quotas._channel import TokenChannel
from .._quotas._lending import Lending
from .._quotas._leader import TokenLeader
from .._quotas._limiter import FleetRateLimiter
from .._quotas._limits import QuotaLimits
from .._quotas._loan_section import LoanSection
from .._reports._section import Reporter

# Sends a piece of a section to the host of a VM.
SendToHost = Callable[[str, str, bytes], Awaitable[None]]


class Quotas:
    """Components that limit customers' rates over all VMs together.

    Parameters:
        membership: has the entry of this VM.
        address_book: names the VMs that serve requests, and their hosts.
        send: sends a piece of a section to a host.
        is_first_process: whether no process has run on this VM before.

    Attributes:
        limiter: admits or refuses requests.
        loan_section: section of the reports to all VMs.
        token_channel: section of the messages to single VMs.
    """

    def __init__(
        self,
        limits: QuotaLimits,
        membership: Membership,
        address_book: AddressBook,
        send: SendToHost,
        clock: Clock,
        log: DecisionLog,
        metrics: Metrics,
        *,
        is_first_process: bool,
    ) -> None:
        """Build the components."""
        reporter = Reporter(membership.me.vm, membership.me.start)
        self._address_book = address_book
        self._send = send
        self._lending = Lending(reporter, address_book.serving_vms, clock)
        leader = TokenLeader(limits, self._lending, clock)
        self.loan_section = LoanSection(
            self._lending,
            lambda: membership.me.status is Status.LEAVING,
            clock,
        )
        self.token_channel = TokenChannel(reporter, leader, self._send_to_vm)
        self.limiter = FleetRateLimiter(
            limits,
            self._lending,
            self.token_channel.ask,
            clock,
            log,
            metrics,
            is_first_process=is_first_process,
        )

    def gauges(self) -> Mapping[str, float]:
        """Return the gauges of the limits by name."""
        return {
            'customers_limited': self.limiter.limited_customer_count(),
            'quota_vms': len(self._lending.serving_vms),
            'quota_loan_age_seconds': self._lending.oldest_loan_age(),
        }

    async def _send_to_vm(self, vm: str, name: str, piece: bytes) -> None:
        host = self._address_book.host_of(vm)
        if host is not None:
            await self._send(host, name, piece)
