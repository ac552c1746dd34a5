"""Construction of the membership of a gateway."""

from __future__ import annotations

import time

from .._adapters._datagrams import Member, Status, UdpGossip
from .._members._membership import Membership
from .._mirror._relay import MirrorRelay
from .._ports import Clock, DecisionLog
from ..platform._settings import NodeSettings

_MS_PER_S = 1000


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
