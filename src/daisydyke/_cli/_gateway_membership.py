"""Construction of what the gateways exchange by datagrams."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

import msgspec

from .._adapters._datagrams import Member, Status, UdpGossip
from .._adapters._udp import UdpMessages
from .._members._membership import Membership
from .._mirror._relay import MirrorRelay
from .._ports import Clock, DecisionLog
from .._reports._exchange import ReportDatagram, ReportExchange
from .._reports._section import DirectSection, Reporter, ReportSection
from ..platform._settings import NodeSettings

_MS_PER_S = 1000
_REPORT_DECODER = msgspec.msgpack.Decoder(ReportDatagram)


def make_membership(
    settings: NodeSettings,
    relay: MirrorRelay,
    clock: Clock,
    log: DecisionLog,
) -> Membership:
    """Return the membership of a VM that has not joined yet.

    Parameters:
        relay: supplies the versions that members compare, and catches up
            with members that are ahead.

    Raises:
        OSError: the gossip port is in use.
    """
    start_ms = int(time.time() * _MS_PER_S)
    me = Member(
        settings.vm,
        settings.gossip.host,
        settings.domain,
        settings.callers.port,
        settings.peers.port,
        start_ms,
        start_ms,
        Status.JOINING,
        settings.speed,
    )
    return Membership(me, UdpGossip(settings.gossip), relay, relay, clock, log)


def make_reports(
    settings: NodeSettings,
    me: Member,
    peers: Callable[[], list[str]],
    sections: Sequence[ReportSection],
    direct_sections: Sequence[DirectSection] = (),
) -> ReportExchange | None:
    """Return the exchange of reports, None without sections.

    Parameters:
        peers: returns the hosts of the other VMs that serve requests.

    Raises:
        OSError: the port is in use.
    """
    if not sections:
        return None
    transport = UdpMessages(settings.reports, _REPORT_DECODER)
    reporter = Reporter(me.vm, me.start)
    return ReportExchange(reporter, peers, transport, sections, direct_sections)
