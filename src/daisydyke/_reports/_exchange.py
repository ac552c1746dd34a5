"""Exchange of reports between the VMs that serve requests."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import curio
import msgspec

from ._section import DirectSection, Reporter, ReportSection

# A report is at most this old when the next one is sent.
REPORT_INTERVAL_S = 0.2


class ReportDatagram(msgspec.Struct, array_like=True, frozen=True):
    """One piece of one section of a report.

    Parameters:
        vm: name of the VM that sends it.
        start: number of the process that sends it.
        section: name of the section.
        piece: content, encoded by the section.
    """

    vm: str
    start: int
    section: str
    piece: bytes


class ReportTransport(Protocol):
    """Unreliable transport of report datagrams between hosts."""

    async def send(self, host: str, message: ReportDatagram) -> None:
        """Send a datagram without waiting for its delivery."""

    async def receive(self) -> tuple[str, ReportDatagram]:
        """Return the next datagram and its sender's host."""


class ReportExchange:
    """Sends this VM's reports to its peers and hands theirs to the sections.

    Parameters:
        me: this process.
        peers: returns the hosts of the other VMs that serve requests.
        transport: carries the datagrams.
        sections: all sections; each VM has the same ones.
        direct_sections: sections whose pieces go to single VMs.
    """

    def __init__(
        self,
        me: Reporter,
        peers: Callable[[], Sequence[str]],
        transport: ReportTransport,
        sections: Sequence[ReportSection],
        direct_sections: Sequence[DirectSection] = (),
    ) -> None:
        """Initialize without sending anything."""
        self._me = me
        self._peers = peers
        self._transport = transport
        self._sections: Mapping[str, ReportSection] = {
            section.name: section for section in sections
        }
        self._direct_sections: Mapping[str, DirectSection] = {
            section.name: section for section in direct_sections
        }

    async def run_sender(self) -> None:
        """Send a report at each interval until cancelled."""
        while True:
            await curio.sleep(REPORT_INTERVAL_S)
            await self.send_now()

    async def send_now(self) -> None:
        """Send what the sections have to tell now."""
        for section in self._sections.values():
            for piece in section.compose():
                await self._send_to_peers(section.name, piece)

    async def run_receiver(self) -> None:
        """Receive reports until cancelled; those of this VM are ignored."""
        while True:
            host, datagram = await self._transport.receive()
            if datagram.vm != self._me.vm:
                await self._hand_over(host, datagram)

    async def send_to(self, host: str, name: str, piece: bytes) -> None:
        """Send a piece of a section to one VM.

        Parameters:
            name: name of the section.
        """
        datagram = ReportDatagram(self._me.vm, self._me.start, name, piece)
        await self._transport.send(host, datagram)

    async def _hand_over(self, host: str, datagram: ReportDatagram) -> None:
        reporter = Reporter(datagram.vm, datagram.start)
        answer: bytes | None = None
        section = self._sections.get(datagram.section)
        if section is not None:
            answer = section.receive(reporter, datagram.piece)
        direct_section = self._direct_sections.get(datagram.section)
        if direct_section is not None:
            answer = await direct_section.receive(reporter, datagram.piece)
        if answer is not None:
            await self.send_to(host, datagram.section, answer)

    async def _send_to_peers(self, name: str, piece: bytes) -> None:
        for host in self._peers():
            await self.send_to(host, name, piece)
