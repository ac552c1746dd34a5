"""Composition root of the entry daemon."""

from __future__ import annotations

import logging
import math
import time
from dataclasses import dataclass

from .._adapters._backend import HttpServerConnection
from .._adapters._clock import RuntimeClock
from .._adapters._datagrams import Member, Status, UdpGossip
from .._adapters._frames import FrameChannel, FrameStream
from .._adapters._http_server import HttpServer
from .._adapters._observability import (
    JsonDecisionLog,
    make_logger,
    make_metrics,
)
from .._adapters._platform import HttpPlatform
from .._adapters._sockets import connect
from .._commits._commit import CommitExecutor, CommitExecutorDependencies
from .._domain._choice import (
    LatencyAwareChoice,
    LeastOutstandingChoice,
    RandomChoice,
    ReplicaChoice,
)
from .._domain._latency import EstimatedHedge, FixedHedge, HedgeTiming
from .._domain._model import Address, Holder, ServerSpec, ServiceSpec
from .._limits._fencing import Fencing
from .._limits._gate import Allowance, ServerGate
from .._limits._ownership import Ownership, OwnershipDependencies
from .._limits._session import Session
from .._members._membership import Membership
from .._operations._configuration import Configuration, ConfigurationWatch
from .._peers._peer_service import PeerService
from .._peers._peers import PeerLinks
from .._queries._callers import (
    CallerInterface,
    CallerInterfaceDependencies,
    StatusBody,
)
from .._queries._catalogue import Catalogue
from .._queries._dependencies import QueryDependencies
from .._queries._query import QueryService, usable_servers
from .._queries._routing import OwnerRoute
from .._settings._daemon import EntrySettings, RoutingSettings
from .._settings._documents import parse_address

_FIXED_HEDGE_DELAY_S = 0.03


@dataclass(frozen=True, slots=True)
class Entry:
    """Components of an entry daemon.

    Attributes:
        links: connections that this VM opens to other entry VMs.
        peers: serves the connections that other entry VMs open.
        callers: handles the requests of callers.
        server: HTTP server for callers.
    """

    settings: EntrySettings
    logger: logging.Logger
    platform: HttpPlatform
    configuration: Configuration
    watch: ConfigurationWatch
    membership: Membership
    gossip: UdpGossip
    session: Session
    fencing: Fencing
    ownership: Ownership
    links: PeerLinks
    peers: PeerService
    commits: CommitExecutor
    callers: CallerInterface
    server: HttpServer
    catalogue: Catalogue

    def is_ready(self) -> bool:
        """Return whether this VM may join.

        While no lease is known, no server has an owner; the service documents
        suffice then. Otherwise, each service needs a usable server.
        """
        services = self.configuration.services.values()
        if not self.configuration.leases:
            return bool(services)
        return all(
            usable_servers(self.configuration, self.catalogue, service)
            for service in services
        )


def wire_entry(settings: EntrySettings) -> Entry:
    """Build an entry daemon without starting it.

    Raises:
        OSError: the gossip port is in use.
    """
    return _EntryWiring(settings).build()


async def open_channel(host: str, port: int) -> FrameChannel:
    """Connect to the peer port of an entry VM.

    Raises:
        ConnectionLostError: the VM cannot be reached.
    """
    return FrameStream(await connect(host, port))


def make_choice(settings: RoutingSettings) -> ReplicaChoice:
    """Return the replica choice policy that the settings name."""
    if settings.choice == 'random':
        return RandomChoice()
    if settings.choice == 'outstanding':
        return LeastOutstandingChoice()
    return LatencyAwareChoice()


def make_hedge(settings: RoutingSettings) -> HedgeTiming:
    """Return the hedge timing policy that the settings name."""
    if settings.hedge == 'none':
        return FixedHedge(math.inf)
    if settings.hedge == 'fixed':
        return FixedHedge(_FIXED_HEDGE_DELAY_S)
    return EstimatedHedge()


class _EntryWiring:
    """Builds the components in the order of their dependencies."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._logger = make_logger(settings.vm)
        self._log = JsonDecisionLog(self._logger)
        statsd = parse_address(settings.statsd) if settings.statsd else None
        self._metrics = make_metrics(statsd, settings.vm)
        self._clock = RuntimeClock()
        self._platform = HttpPlatform(parse_address(settings.platform))
        self._configuration = Configuration(self._log)
        self._catalogue = Catalogue()
        self._choice = make_choice(settings.routing)
        self._holder = Holder(settings.vm, int(time.time() * 1000))
        self._gossip = UdpGossip(
            Address(settings.host, settings.gossip_port),
        )
        self._links = PeerLinks(
            lambda: self._membership,
            self._catalogue,
            self._configuration,
            self._clock,
        )
        self._membership = self._make_membership()
        self._session = Session(
            self._holder,
            self._platform,
            self._clock,
            settings.lease,
            self._log,
        )
        self._fencing = Fencing(
            self._platform,
            self._membership,
            self._clock,
            settings.lease,
            self._log,
        )
        self._ownership = self._make_ownership()
        self._route = OwnerRoute(
            settings.vm,
            self._configuration,
            self._ownership,
            self._links,
        )
        self._commits = self._make_commits()

    def build(self) -> Entry:
        """Build the remaining components and return all of them."""
        callers = self._make_callers()
        peers = PeerService(
            self._settings.vm,
            self._ownership.gates,
            self._catalogue,
            self._configuration,
            self._commits,
            self._clock,
        )
        watch = ConfigurationWatch(
            self._platform,
            self._configuration,
            self._clock,
        )
        return Entry(
            self._settings,
            self._logger,
            self._platform,
            self._configuration,
            watch,
            self._membership,
            self._gossip,
            self._session,
            self._fencing,
            self._ownership,
            self._links,
            peers,
            self._commits,
            callers,
            HttpServer(callers.handle),
            self._catalogue,
        )

    def _make_membership(self) -> Membership:
        settings = self._settings
        me = Member(
            settings.vm,
            settings.host,
            settings.domain,
            settings.caller_port,
            settings.peer_port,
            self._holder.start,
            self._holder.start,
            Status.JOINING,
        )
        return Membership(
            me,
            self._gossip,
            self._configuration,
            self._links,
            self._clock,
            self._log,
        )

    def _make_ownership(self) -> Ownership:
        return Ownership(
            OwnershipDependencies(
                self._platform,
                self._configuration,
                self._membership,
                self._session,
                self._fencing,
                self._clock,
                self._log,
                self._settings.lease,
            ),
            self._make_gate,
        )

    def _make_gate(
        self,
        service: ServiceSpec,
        spec: ServerSpec,
        allowance: Allowance,
    ) -> ServerGate:
        return ServerGate(
            service,
            spec,
            allowance,
            lambda: HttpServerConnection(spec.address),
            self._clock,
            self._log,
            self._catalogue.state(spec.server_id),
        )

    def _make_commits(self) -> CommitExecutor:
        return CommitExecutor(
            self._holder,
            CommitExecutorDependencies(
                self._configuration,
                self._catalogue,
                self._route,
                self._choice,
                self._clock,
                self._log,
            ),
        )

    def _make_callers(self) -> CallerInterface:
        queries = QueryService(
            QueryDependencies(
                self._configuration,
                self._catalogue,
                self._route,
                self._choice,
                make_hedge(self._settings.routing),
                self._clock,
                self._log,
                self._metrics,
            ),
        )
        return CallerInterface(
            CallerInterfaceDependencies(
                queries,
                self._commits,
                self._membership,
                self._configuration,
                self._links,
                self._clock,
                self._log,
                self._metrics,
                self._status,
                self._settings.address_keep_ms,
            ),
        )

    def _status(self) -> StatusBody:
        configuration = self._configuration
        me = self._membership.me
        return StatusBody(
            me.vm,
            me.domain,
            me.status is Status.LEAVING,
            configuration.version,
            hex(configuration.digest),
            {
                f'{stored.kind}/{stored.name}': stored.version
                for stored in configuration.in_force()
                if stored.kind != 'lease'
            },
            {
                vm: member.status.name.lower()
                for vm, member in self._membership.members.items()
            },
            {
                server_id: gate.state.phase
                for server_id, gate in self._ownership.gates.items()
            },
            self._session.valid(),
        )
