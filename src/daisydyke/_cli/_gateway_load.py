"""Construction of the decisions by the load of servers."""

from __future__ import annotations

import random
from collections.abc import Callable

from .._backends._cold_admission import ColdAdmission
from .._backends._open_work import OpenWork, OwnOpenWork
from .._backends._peer_load import PeerLoad
from .._backends._pool import ConnectionPool
from .._backends._registry import ServerRegistry
from .._backends._server import BackendServer
from .._ports import Clock
from .._reports._section import ReportSection
from .._requests._admission import Admission, NoAdmission, ServerAdmission
from .._requests._retry_after import (
    FixedRetryTimes,
    OrderedRetryTimes,
    RetryTimes,
)
from .._requests._versions import PermittedServers


class LoadSharing:
    """Components that decide by the load of servers.

    Parameters:
        is_enabled: whether VMs tell each other the load of servers; otherwise
            each decides by its own exchanges alone.
        registry: all servers.
        permitted: the servers that count as room.
        sender_count: returns the number of VMs that send to servers,
            including this one.

    Attributes:
        open_work: estimates the load of servers.
        admission: decides whether servers can take a request.
        retry_times: decides when refused callers should return.
        sections: sections of the reports that these components need.
    """

    def __init__(
        self,
        is_enabled: bool,  # noqa: FBT001
        registry: ServerRegistry,
        permitted: PermittedServers,
        pool: ConnectionPool,
        cold_admission: ColdAdmission,
        sender_count: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Build the components."""
        self._pool = pool
        self._cold_admission = cold_admission
        self.open_work: OpenWork = OwnOpenWork()
        self.admission: Admission = NoAdmission()
        self.retry_times: RetryTimes = FixedRetryTimes()
        self.sections: tuple[ReportSection, ...] = ()
        if not is_enabled:
            return
        peer_load = PeerLoad(registry.all, sender_count, clock)
        of_service = permitted.of_service
        self.open_work = peer_load
        self.admission = ServerAdmission(of_service, self._has_room)
        self.retry_times = OrderedRetryTimes(
            of_service,
            sender_count,
            clock,
            random.Random(),  # noqa: S311
        )
        self.sections = (peer_load,)

    def _has_room(self, server: BackendServer) -> bool:
        """Return whether a server could be sent one more request now."""
        return self._pool.can_submit(server) and self._cold_admission.has_room(
            server
        )
