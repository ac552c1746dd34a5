"""Composition root of the gateway daemon."""

from __future__ import annotations

import sys
from itertools import count

from .._adapters._bounded_stream import BoundedStream
from .._adapters._clock import RuntimeClock
from .._adapters._datagrams import Status
from .._adapters._http_server import HttpServer
from .._adapters._limited_log import LimitedDecisionLog
from .._adapters._metrics import MetricsRegistry
from .._adapters._mirror_exchange import MirrorHandler
from .._adapters._observability import JsonDecisionLog, make_logger
from .._backends._cold_admission import ColdAdmission
from .._backends._pool import ConnectionPool
from .._backends._shares import FleetShares
from .._members._address_book import AddressBook
from .._reports._section import DirectSection, Reporter, ReportSection
from .._requests._dependencies import DispatchDependencies
from .._requests._rate_limiter import NoRateLimit, RateLimiter
from .._requests._service import RequestDependencies, RequestService
from .._requests._versions import (
    AnyVersion,
    PermittedServers,
    VersionChoice,
)
from ..platform._callers import (
    CallerHandler,
    DirectoryHandler,
    MetricsHandler,
    ReadinessHandler,
)
from ..platform._pages import ROLLOUT_KIND
from ..platform._servers import HttpReplyStream, encode_request
from ..platform._settings import NodeSettings
from ._gateway_load import LoadSharing
from ._gateway_membership import make_membership, make_reports
from ._gateway_quotas import Quotas
from ._gateway_rollouts import (
    RolloutComponents,
    RolloutFleet,
    RolloutRuntime,
    make_rollouts,
)
from ._gateway_servers import (
    make_caller_server,
    make_peer_memory,
    make_server,
    sockets_for_servers,
)
from ._gateway_state import StoreState
from ._tasks import BackgroundTasks


class Gateway:
    """Components of a gateway daemon.

    Attributes:
        state: what this VM knows from the store.
        caller_server: serves the requests of callers.
        directory_server: serves the addresses that callers should use.
        readiness_server: serves the platform's readiness checks.
        mirror_server: serves this VM's mirrors to other VMs.
        metrics_server: serves the metrics.
        background: tasks that run until ``close``.
        rollouts: decides roll-outs; None where services are not rolled out.
        reports: exchanges reports with other VMs; None if no part of this
            configuration needs them.
    """

    def __init__(self, settings: NodeSettings) -> None:
        """Build all components without starting them.

        Raises:
            OSError: the gossip port is in use.
        """
        self.settings = settings
        self.clock = RuntimeClock()
        self._log_stream = BoundedStream(sys.stdout.fileno())
        self.log = LimitedDecisionLog(
            JsonDecisionLog(make_logger(settings.vm, self._log_stream)),
            self.clock,
        )
        self.background = BackgroundTasks(self._log_failure)
        self.metrics = MetricsRegistry(self._gauges)
        self.state = StoreState(settings, self.clock, self.log)
        self.membership = make_membership(
            settings, self.state.mirror_relay, self.clock, self.log
        )
        self.address_book = AddressBook(self.membership, settings.maximum_ttl_s)
        # Parts that no setting switches on have no section.
        self._report_sections: list[ReportSection] = []
        self._direct_sections: list[DirectSection] = []
        self._quotas = self._make_quotas()
        self.rollouts = self._make_rollouts()
        self._versions: VersionChoice = (
            self.rollouts.versions if self.rollouts else AnyVersion()
        )
        self._shares = FleetShares(
            settings.extra_load,
            self.state.policy,
            self.address_book.sender_count,
            self.clock,
        )
        memory = make_peer_memory(settings)
        self.pool = ConnectionPool(
            HttpReplyStream,
            self._shares.connection_limit,
            self.state.usable_servers.includes,
            memory.answers,
            self.clock,
            self.log,
            self._sockets_for_servers,
        )
        self.server_sink = self.state.add_mirrors(self.pool)
        if self.rollouts is not None:
            self.state.add_mirror(ROLLOUT_KIND, self.rollouts.book)
        self._cold_admission = ColdAdmission(
            settings.vm,
            settings.cold,
            self.state.policy,
            self._alive_vms,
            self.clock,
        )
        self._load_sharing = LoadSharing(
            settings.shares_load,
            self.state.registry,
            PermittedServers(
                self._versions, self.state.usable_servers.of_service
            ),
            self.pool,
            self._cold_admission,
            self.address_book.sender_count,
            self.clock,
        )
        self._report_sections.extend(self._load_sharing.sections)
        self.request_service = RequestService(self._request_dependencies())
        self.caller_server = make_caller_server(
            settings,
            memory,
            CallerHandler(self.request_service, self.clock),
            lambda: self.state.table,
        )
        self.reports = make_reports(
            settings,
            self.membership.me,
            self.address_book.peer_hosts,
            self._report_sections,
            self._direct_sections,
        )
        self.directory_server = make_server(
            settings, DirectoryHandler(self.address_book.addresses).handle
        )
        self.readiness_server = make_server(
            settings, ReadinessHandler(self.is_ready).handle
        )
        self.mirror_server = make_server(
            settings, MirrorHandler(self.state.listing_of).handle
        )
        self.metrics_server = make_server(
            settings, MetricsHandler(self.metrics.render).handle
        )

    async def close(self) -> None:
        """Cancel the background tasks and stop listening.

        No task starts any more after that.
        """
        await self.background.cancel()
        self.pool.close()
        for server in self._servers:
            await server.stop_listening()

    def is_ready(self) -> bool:
        """Return whether this VM has joined and can answer requests."""
        status = self.membership.me.status
        return status is Status.ALIVE and self.state.has_initial_data()

    @property
    def _servers(self) -> tuple[HttpServer, ...]:
        return (
            self.readiness_server,
            self.directory_server,
            self.caller_server,
            self.mirror_server,
            self.metrics_server,
        )

    def _log_failure(self, error: Exception) -> None:
        error_name = type(error).__name__
        self.log.record('task_failed', error=f'{error_name}: {error}')

    def _make_rollouts(self) -> RolloutComponents | None:
        rollouts = make_rollouts(
            self.settings,
            self.state,
            Reporter(self.settings.vm, self.membership.me.start),
            RolloutFleet(
                self._alive_vms,
                lambda: len(self.address_book.peer_hosts()),
                self.address_book.sender_count,
            ),
            RolloutRuntime(self.clock, self.log, self.metrics),
        )
        if rollouts is not None:
            self._report_sections.append(rollouts.reports)
        return rollouts

    def _make_quotas(self) -> Quotas | None:
        """Return the limits on customers' rates; None without settings."""
        settings = self.settings
        if settings.quota is None:
            return None
        quotas = Quotas(
            settings.quota,
            self.membership,
            self.address_book,
            self._send_piece,
            self.clock,
            self.log,
            self.metrics,
            is_first_process=settings.first_start,
        )
        self._report_sections.append(quotas.loan_section)
        self._direct_sections.append(quotas.token_channel)
        return quotas

    def _rate_limiter(self) -> RateLimiter:
        return self._quotas.limiter if self._quotas else NoRateLimit()

    async def _send_piece(self, host: str, name: str, piece: bytes) -> None:
        if self.reports is not None:
            await self.reports.send_to(host, name, piece)

    def _request_dependencies(self) -> RequestDependencies:
        dispatch = DispatchDependencies(
            self.pool,
            self.state.usable_servers.of_service,
            self._cold_admission.admit,
            self._shares.extra_load,
            self.state.pause_guard.wait_until_current,
            encode_request,
            self.clock,
            self.log,
            self.settings.domain,
            count(1),
            self._load_sharing.open_work,
            self._versions,
        )
        return RequestDependencies(
            dispatch,
            # With a table alone, a restarted process would send requests to
            # failure domains that are out of service.
            lambda: self.state.table if self.state.has_initial_data() else None,
            self.clock,
            self.log,
            self.metrics,
            self.state.is_current,
            rate_limiter=self._rate_limiter(),
            admission=self._load_sharing.admission,
            retry_times=self._load_sharing.retry_times,
        )

    def _gauges(self) -> dict[str, float]:
        lost_at = self.state.store_health.lost_at
        now = self.clock.monotonic()
        table = self.state.table
        quota_gauges = self._quotas.gauges() if self._quotas else {}
        return {
            **quota_gauges,
            'configuration_version': table.version if table else 0,
            'members_alive': len(self.membership.alive()),
            'servers_known': len(self.state.registry.server_ids()),
            'domains_out': len(self.state.excluded_domains),
            'store_calls': self.state.store.call_count,
            'store_lost_seconds': now - lost_at if lost_at else 0,
            'server_connections_opened': self.pool.opened_count,
            'server_protocol_violations': self.pool.violation_count,
            'requests_in_flight': self.caller_server.requests_in_progress,
            'caller_connections': self.caller_server.connection_count,
            'request_bytes_held': self.caller_server.held_bytes,
            'load_reporters': self._load_sharing.open_work.reporter_count(),
            'answer_bytes_held': self.caller_server.held_answer_bytes,
            'requests_refused_for_memory': self.caller_server.refused_count,
            'server_connections': self.pool.open_count,
            'loop_lag_seconds': self.pool.loop_lag_s,
            'log_lines_left_out': self.log.suppressed_lines,
            'log_lines_dropped': self._log_stream.dropped_lines,
        }

    def _sockets_for_servers(self) -> int:
        return sockets_for_servers(self.settings, self._servers)

    def _alive_vms(self) -> list[str]:
        return [member.vm for member in self.membership.alive()]
