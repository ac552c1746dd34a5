"""Copies of the store's objects, and what depends on them alone."""

from __future__ import annotations

from .._backends._pool import ConnectionPool
from .._backends._registry import ServerRegistry, UsableServers
from .._mirror._mirror import KindMirror, ObjectSink
from .._mirror._pause_guard import PauseGuard
from .._mirror._relay import MirrorRelay
from .._mirror._sinks import DomainSink, ServerSink, TableSink
from .._mirror._store_health import StoreHealth
from .._mirror._store_probe import StoreProbe
from .._adapters._mirror_exchange import MirrorReader
from .._ports import Clock, DecisionLog, Listing
from .._requests._model import ServicePolicy
from .._requests._routes import RoutingTable
from ..platform._documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EXCLUDED_DOMAIN_KIND,
    SERVER_KIND,
    decode_configuration,
    decode_server,
)
from ..platform._settings import NodeSettings
from ..platform._store import ObjectStore
from ._tasks import TaskFunction

_WATCH_INTERVAL_S = 0.1
# Longer, since each server changes its entry several times while it starts or
# leaves, and one watch returns all changes since the previous one.
_SERVER_WATCH_INTERVAL_S = 0.5
# The store's latest answer may be as old as this share of the time within
# which a change has to be in force; the rest is for what else a change takes.
_TRUSTED_SHARE = 0.5


class StoreState:
    """What this VM knows from the store.

    Attributes:
        mirrors: copies of the store's objects, one for each kind.
        pause_guard: brings the mirrors up to date after a pause.
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock, log: DecisionLog
    ) -> None:
        """Initialize without mirrors; ``add_mirrors`` adds them."""
        self._clock = clock
        self._log = log
        self._trusted_s = settings.change_s * _TRUSTED_SHARE
        self.store = ObjectStore(settings.store)
        self.store_health = StoreHealth(clock, log)
        self.registry = ServerRegistry(clock, log)
        self._domain_sink = DomainSink(log)
        self.usable_servers = UsableServers(
            self.registry, lambda: self._domain_sink.excluded
        )
        self._table_sink = TableSink(
            CONFIGURATION_NAME, decode_configuration, log
        )
        self.mirrors: list[KindMirror] = []
        self._store_probe = StoreProbe(
            self.store, self.mirrors, self.store_health
        )
        self.pause_guard = PauseGuard(self.mirrors, clock, log)
        self._mirror_relay = MirrorRelay(self.mirrors, MirrorReader(), log)

    @property
    def mirror_relay(self) -> MirrorRelay:
        """Updates the mirrors from other VMs."""
        return self._mirror_relay

    @property
    def excluded_domains(self) -> frozenset[str]:
        """Failure domains whose servers get no requests."""
        return self._domain_sink.excluded

    @property
    def update_tasks(self) -> tuple[TaskFunction, ...]:
        """Tasks that keep the copies current, until cancelled."""
        return (
            self._mirror_relay.run,
            self._store_probe.run,
            *(mirror.run for mirror in self.mirrors),
        )

    @property
    def table(self) -> RoutingTable | None:
        """Routing table in force; None before the first configuration."""
        return self._table_sink.table

    def add_mirrors(self, pool: ConnectionPool) -> ServerSink:
        """Add the mirrors, which all have to be listed before requests.

        Parameters:
            pool: closes the connections of servers that have gone.

        Returns:
            The sink of the servers, whose removals have to be run.
        """
        server_sink = ServerSink(
            self.registry,
            pool,
            decode_server,
            self.store_health,
            self._clock,
            self._log,
        )
        self.add_mirror(CONFIGURATION_KIND, self._table_sink)
        self.add_mirror(SERVER_KIND, server_sink, _SERVER_WATCH_INTERVAL_S)
        self.add_mirror(EXCLUDED_DOMAIN_KIND, self._domain_sink)
        return server_sink

    def add_mirror(
        self,
        kind: str,
        sink: ObjectSink,
        watch_interval_s: float = _WATCH_INTERVAL_S,
    ) -> None:
        """Add the mirror of a kind."""
        self.mirrors.append(
            KindMirror(
                kind,
                self.store,
                sink,
                self.store_health,
                self._log,
                watch_interval_s,
            )
        )

    def has_initial_data(self) -> bool:
        """Return whether mirrors and a configuration have been loaded."""
        listed = all(mirror.listed.is_set() for mirror in self.mirrors)
        return listed and self.table is not None

    def is_current(self) -> bool:
        """Return whether a change of the configuration would be known here.

        That is, one that was made so long ago that it has to be in force.
        """
        return self.store_health.has_answered_within(self._trusted_s)

    def listing_of(self, kind: str) -> Listing | None:
        """Return the mirrored objects of a kind; None for other kinds."""
        for mirror in self.mirrors:
            if mirror.kind == kind:
                return mirror.listing()
        return None

    def policy(self, service: str) -> ServicePolicy | None:
        """Return the policy of a service, or None if none is known."""
        table = self.table
        return table.services.get(service) if table else None
