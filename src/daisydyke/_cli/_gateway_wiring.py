"""Composition root of the gateway daemon."""

from __future__ import annotations

import sys
import time
from itertools import count

from .._adapters._bounded_stream import BoundedStream
from .._adapters._clock import RuntimeClock
from .._adapters._datagrams import Member, Status, UdpGossip
from .._adapters._http_server import HttpLimits, HttpServer
from .._adapters._limited_log import LimitedDecisionLog
from .._adapters._metrics import MetricsRegistry
from .._adapters._mirror_exchange import MirrorHandler, MirrorReader
from .._adapters._observability import JsonDecisionLog, make_logger
from .._backends._cold_admission import ColdAdmission
from .._backends._pool import ConnectionPool
from .._backends._registry import ServerRegistry, usable
from .._backends._server import BackendServer
from .._backends._shares import FleetShares
from .._members._address_book import AddressBook
from .._members._membership import Membership
from .._mirror._mirror import KindMirror
from .._mirror._relay import MirrorRelay
from .._mirror._sinks import DomainSink, ServerSink, TableSink
from .._mirror._store_health import StoreHealth
from .._ports import Listing
from .._requests._dispatch import DispatchPorts
from .._requests._model import ServicePolicy
from .._requests._service import RequestPorts, RequestService
from ..platform._callers import (
    CallerHandler,
    DirectoryHandler,
    MetricsHandler,
    ReadinessHandler,
)
from ..platform._documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    OUT_DOMAIN_KIND,
    SERVER_KIND,
    decode_configuration,
    decode_server,
)
from ..platform._servers import HttpReplyStream, encode_request
from ..platform._settings import NodeSettings
from ..platform._store import ObjectStore

_PACE_S = 0.1
# Seconds; each server that starts or leaves changes its entry several times.
_SERVER_PACE_S = 0.5


class Gateway:
    """The wired parts of a gateway daemon."""

    def __init__(self, settings: NodeSettings) -> None:
        """Build all parts; nothing runs yet.

        Raises:
            OSError: the gossip port is in use.
        """
        self.settings = settings
        self.clock = RuntimeClock()
        self._stream = BoundedStream(sys.stdout.fileno())
        self.log = LimitedDecisionLog(
            JsonDecisionLog(make_logger(settings.vm, self._stream)),
            self.clock,
        )
        self.metrics = MetricsRegistry(self._gauges)
        self.store = ObjectStore(settings.store)
        self.health = StoreHealth(self.clock, self.log)
        self.registry = ServerRegistry(self.clock, self.log)
        self.tables = TableSink(
            CONFIGURATION_NAME,
            decode_configuration,
            self.log,
        )
        self.mirrors: list[KindMirror] = []
        self.relay = MirrorRelay(
            self.mirrors,
            MirrorReader(),
            self.clock,
            self.log,
        )
        self.membership = self._make_membership()
        self.book = AddressBook(self.membership, settings.longest_keep)
        self._shares = FleetShares(
            settings.extra_load,
            self._policy,
            self.book.sender_count,
            self.clock,
        )
        self.pool = ConnectionPool(
            HttpReplyStream,
            self._shares.connection_limit,
            self.clock,
        )
        self.domains = DomainSink(self.log)
        self.servers = ServerSink(
            self.registry,
            self.pool,
            decode_server,
            self.health,
            self.clock,
            self.log,
        )
        self.mirrors.extend(
            KindMirror(kind, self.store, sink, self.health, self.log, pace)
            for kind, sink, pace in (
                (CONFIGURATION_KIND, self.tables, _PACE_S),
                (SERVER_KIND, self.servers, _SERVER_PACE_S),
                (OUT_DOMAIN_KIND, self.domains, _PACE_S),
            )
        )
        self._cold = ColdAdmission(
            settings.vm,
            settings.cold,
            self._policy,
            self._alive_names,
            self.clock,
        )
        self.requests = RequestService(self._request_ports())
        self.callers = HttpServer(
            CallerHandler(self.requests, self.clock).handle,
            cancel_on_disconnect=True,
            limits=self._limits,
        )
        self.directory = HttpServer(
            DirectoryHandler(self.book.addresses).handle
        )
        self.readiness = HttpServer(ReadinessHandler(self.is_ready).handle)
        self.copies = HttpServer(MirrorHandler(self._listing_of).handle)
        self.scrapes = HttpServer(MetricsHandler(self.metrics.render).handle)

    def is_ready(self) -> bool:
        """Tell whether requests can be answered and are wanted."""
        status = self.membership.me.status
        return status is Status.ALIVE and self.is_informed()

    def is_informed(self) -> bool:
        """Tell whether configuration and servers are known."""
        listed = all(mirror.listed.is_set() for mirror in self.mirrors)
        return listed and self.tables.table is not None

    def _make_membership(self) -> Membership:
        settings = self.settings
        start = int(time.time() * 1000)
        me = Member(
            settings.vm,
            settings.gossip.host,
            settings.domain,
            settings.callers.port,
            settings.peers.port,
            start,
            start,
            Status.JOINING,
            settings.speed,
        )
        return Membership(
            me,
            UdpGossip(settings.gossip),
            self.relay,
            self.relay,
            self.clock,
            self.log,
        )

    def _request_ports(self) -> RequestPorts:
        dispatch = DispatchPorts(
            self.pool,
            self._candidates,
            self._cold.admit,
            self._shares.extra_load,
            encode_request,
            self.clock,
            self.log,
            self.settings.domain,
            count(1),
        )
        return RequestPorts(
            dispatch,
            lambda: self.tables.table,
            self.clock,
            self.log,
            self.metrics,
        )

    def _gauges(self) -> dict[str, float]:
        lost_at = self.health.lost_at
        now = self.clock.monotonic()
        table = self.tables.table
        return {
            'configuration_version': table.version if table else 0,
            'members_alive': len(self.membership.alive()),
            'servers_known': len(self.registry.server_ids()),
            'domains_out': len(self.domains.out),
            'store_calls': self.store.calls,
            'store_lost_seconds': now - lost_at if lost_at else 0,
            'server_connections_opened': self.pool.opened_count,
            'requests_in_flight': self.callers.requests_in_progress,
            'loop_lag_seconds': self.pool.loop_lag_s,
            'log_lines_left_out': self.log.suppressed_lines,
            'log_lines_dropped': self._stream.dropped_lines,
        }

    def _listing_of(self, kind: str) -> Listing | None:
        for mirror in self.mirrors:
            if mirror.kind == kind:
                return mirror.listing()
        return None

    def _candidates(self, service: str) -> list[BackendServer]:
        return usable(self.registry.of_service(service), self.domains.out)

    def _policy(self, service: str) -> ServicePolicy | None:
        table = self.tables.table
        return table.services.get(service) if table else None

    def _alive_names(self) -> list[str]:
        return [member.vm for member in self.membership.alive()]

    def _limits(self) -> HttpLimits:
        table = self.tables.table
        if table is None:
            return HttpLimits()
        limits = table.limits
        return HttpLimits(
            limits.head_bytes,
            limits.body_bytes,
            limits.head_timeout,
            limits.idle_timeout,
        )
