"""Load of backend servers, as the VMs that send to them report it."""

from __future__ import annotations

import struct
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple

from .._ports import Clock
from .._reports._section import Reporter
from ._server import BackendServer

# Number of the report, the same in all of its pieces.
_HEADER = struct.Struct('!I')
# Key of a server, open exchanges, age of the latest shed in milliseconds.
_ENTRY = struct.Struct('!IBH')
_MAXIMUM_PIECE_BYTES = 1000
_PIECE_ENTRY_COUNT = (_MAXIMUM_PIECE_BYTES - _HEADER.size) // _ENTRY.size
_MAXIMUM_OPEN_COUNT = 0xFF
_NO_SHED_MS = 0xFFFF
_MS_PER_S = 1000
# Most exchanges that were open at the time of a report end soon after it.
_HALF_LIFE_S = 0.1
_MAXIMUM_AGE_S = 1.0
_SHED_MEMORY_S = 0.3
# Reports older than this are removed when another VM reports. They have counted
# for nothing since ``_MAXIMUM_AGE_S``.
_REPORT_MEMORY_S = 60
# A VM counts its own open exchanges at most this many times, for what other
# VMs have begun since they reported.
_MAXIMUM_OWN_WEIGHT = 3
# With more VMs, each reports less often, so that the datagrams that a VM
# receives do not grow with their number.
_INTERVAL_PEER_COUNT = 16


class _ReportedLoad(NamedTuple):
    # Made for each entry of each report, so it has to be cheap to make.
    open_count: int
    received_at: float
    shed_at: float


_NO_LOADS: Mapping[str, _ReportedLoad] = MappingProxyType({})


@dataclass(slots=True)
class _Report:
    """Newest report of a VM.

    Parameters:
        number: start of the process, then number of the report.
        keys: keys of the servers in its pieces.
    """

    number: tuple[int, int]
    received_at: float
    keys: set[int] = field(default_factory=set)


class PeerLoad:
    """Section ``load`` of the reports, and the estimate made from it.

    A report states the open exchanges of this VM for each server that has any
    or has just shed a request. Its pieces have the same number. Pieces of an
    older report are ignored, and the first piece of a newer one removes all
    that the older one stated. For entries with the same key in a report, the
    larger number of open exchanges and the later shed apply. The older a report
    is, the less its exchanges count.

    What others have begun since they reported is estimated from this VM's own
    exchanges: VMs that serve similar requests choose alike. A request is
    expected to wait only if that leaves no slot free.

    Parameters:
        servers: returns all servers.
        sender_count: returns the number of VMs that send to servers,
            including this one.
    """

    def __init__(
        self,
        servers: Callable[[], Iterable[BackendServer]],
        sender_count: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Initialize without reports."""
        self._servers = servers
        self._sender_count = sender_count
        self._clock = clock
        self._senders = 1
        self._interval_count = 0
        self._number = 0
        self._was_empty = True
        self._reports: dict[str, _Report] = {}
        self._loads: defaultdict[int, dict[str, _ReportedLoad]] = defaultdict(
            dict
        )

    @property
    def name(self) -> str:
        """Name of the section."""
        return 'load'

    def queueing(self, server: BackendServer) -> float:
        """Return the expected wait for a slot, in median latencies."""
        slots = server.record.slots
        own_weight = min(self._senders, _MAXIMUM_OWN_WEIGHT)
        open_work = len(server.outstanding) * own_weight
        open_work += self._reported(server)
        return max(0, open_work + 1 - slots) / slots

    def has_shed(self, server: BackendServer) -> bool:
        """Return whether any VM has just seen a server shed a request."""
        since = self._clock.monotonic() - _SHED_MEMORY_S
        if server.shed_at > since:
            return True
        reported = self._loads.get(server.report_key, _NO_LOADS)
        return any(load.shed_at > since for load in reported.values())

    def reporter_count(self) -> int:
        """Return how many VMs have reported within a second."""
        since = self._clock.monotonic() - _MAXIMUM_AGE_S
        return sum(
            report.received_at > since for report in self._reports.values()
        )

    def compose(self) -> list[bytes]:
        """Return the pieces of the next report.

        Once no server has load any more, one report without entries is sent.
        """
        self._interval_count += 1
        self._senders = self._sender_count()
        interval = 1 + (self._senders - 1) // _INTERVAL_PEER_COUNT
        if self._interval_count % interval:
            return []
        entries = list(self._entries())
        if not entries and self._was_empty:
            return []
        self._was_empty = not entries
        self._number += 1
        header = _HEADER.pack(self._number)
        return [
            header + b''.join(entries[start : start + _PIECE_ENTRY_COUNT])
            for start in range(0, len(entries) or 1, _PIECE_ENTRY_COUNT)
        ]

    def receive(self, reporter: Reporter, piece: bytes) -> None:
        """Take one piece; it is ignored if it is damaged or old."""
        size = len(piece) - _HEADER.size
        if size < 0 or size % _ENTRY.size:
            return
        number = (reporter.start, *_HEADER.unpack_from(piece))
        report = self._reports.get(reporter.vm)
        if report is None or number > report.number:
            report = self._replace(reporter.vm, number)
        if number < report.number:
            return
        entries = piece[_HEADER.size :]
        self._add(reporter.vm, report.keys, entries, self._clock.monotonic())

    def _add(self, vm: str, keys: set[int], entries: bytes, now: float) -> None:
        for key, open_count, shed_ms in _ENTRY.iter_unpack(entries):
            load = _ReportedLoad(open_count, now, _shed_at(shed_ms, now))
            loads = self._loads[key]
            other = loads.get(vm)
            loads[vm] = load if other is None else _merge(load, other)
            keys.add(key)

    def _reported(self, server: BackendServer) -> float:
        now = self._clock.monotonic()
        total: float = 0
        for load in self._loads.get(server.report_key, _NO_LOADS).values():
            age = now - load.received_at
            if age < _MAXIMUM_AGE_S:
                total += load.open_count * 0.5 ** (age / _HALF_LIFE_S)
        return total

    def _replace(self, vm: str, number: tuple[int, int]) -> _Report:
        if vm not in self._reports:
            self._forget_old_reports()
        self._forget(vm)
        report = _Report(number, self._clock.monotonic())
        self._reports[vm] = report
        return report

    def _forget_old_reports(self) -> None:
        oldest = self._clock.monotonic() - _REPORT_MEMORY_S
        for vm, report in tuple(self._reports.items()):
            if report.received_at < oldest:
                self._forget(vm)

    def _forget(self, vm: str) -> None:
        report = self._reports.pop(vm, None)
        for key in report.keys if report else ():
            loads = self._loads[key]
            loads.pop(vm)
            if not loads:
                self._loads.pop(key)

    def _entries(self) -> Iterator[bytes]:
        now = self._clock.monotonic()
        for server in self._servers():
            shed_age = now - server.shed_at
            has_shed = shed_age < _SHED_MEMORY_S
            if server.outstanding or has_shed:
                yield _ENTRY.pack(
                    server.report_key,
                    min(len(server.outstanding), _MAXIMUM_OPEN_COUNT),
                    int(shed_age * _MS_PER_S) if has_shed else _NO_SHED_MS,
                )


def _shed_at(shed_ms: int, now: float) -> float:
    return 0 if shed_ms == _NO_SHED_MS else now - shed_ms / _MS_PER_S


def _merge(load: _ReportedLoad, other: _ReportedLoad) -> _ReportedLoad:
    """Return the load of two servers that have the same key.

    The other entry may also be a copy of this one, so they are not added.
    """
    return _ReportedLoad(
        max(load.open_count, other.open_count),
        other.received_at,
        max(load.shed_at, other.shed_at),
    )
