"""Sections of the reports between VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Reporter:
    """Process that sends reports.

    Parameters:
        vm: name of its VM.
        start: number of the process; a later process on the VM has a higher
            one.
    """

    vm: str
    start: int


class DirectSection(Protocol):
    """Exchanges pieces with single VMs, beside the reports to all of them."""

    @property
    def name(self) -> str:
        """Name of the section on the wire, unique among all sections."""

    async def receive(self, reporter: Reporter, piece: bytes) -> bytes | None:
        """Take one piece; return a piece that answers it, or None."""


class ReportSection(Protocol):
    """Contributes a section to this VM's reports and reads those of others.

    Reports go to every other VM that serves requests, at short intervals.
    They may be lost, repeated or arrive out of order, so that a section
    states totals and times rather than changes.
    """

    @property
    def name(self) -> str:
        """Name of the section on the wire, unique among the sections."""

    def compose(self) -> list[bytes]:
        """Return the encoded pieces to send now; none if nothing is to tell.

        Each piece is sent in a datagram of its own and is understood alone.
        """

    def receive(self, reporter: Reporter, piece: bytes) -> bytes | None:
        """Take one piece; a piece that cannot be read is ignored.

        Returns:
            A piece for its sender alone, None for most.
        """
