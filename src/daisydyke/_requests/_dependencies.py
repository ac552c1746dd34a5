"""Dependencies of the dispatch of requests to backend servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from .._backends._exchange import Exchange
from .._backends._extra_load import ExtraLoadBudget
from .._backends._open_work import OpenWork
from .._backends._server import BackendServer
from .._ports import Clock, DecisionLog
from ._model import RequestEncoderFactory
from ._versions import AnyVersion, VersionChoice

# Returns the servers of a service that are eligible for requests.
ServerLookup = Callable[[str], list[BackendServer]]
# Returns whether a server may be sent one more request now. The number of
# requests sent to a cold server, which is still warming up, is limited.
AdmissionCheck = Callable[[BackendServer], bool]


class ExchangeTransport(Protocol):
    """Sends exchanges to backend servers."""

    def can_submit(self, server: BackendServer) -> bool:
        """Return whether a connection is available for another exchange."""

    async def submit(self, exchange: Exchange) -> bool:
        """Send an exchange.

        Returns:
            False if no connection was available and nothing was sent.
        """

    async def abandon(self, exchange: Exchange) -> None:
        """Cancel an exchange whose outcome is no longer needed."""


@dataclass(frozen=True, slots=True)
class DispatchDependencies:
    """Dependencies of a dispatch, shared by all requests.

    Parameters:
        candidates: returns the servers that may be sent requests.
        admit: returns whether a server may be sent one more request now; the
            admitted request counts toward the limit of a cold server.
        extra_load: returns the budget for hedges and retries of a service.
        wait_until_current: returns once the changes made during a pause of
            this process, if there was one, are known.
        domain: failure domain of this VM.
        sequence_numbers: source of exchange numbers and of the order of
            timers that are due at the same time.
        open_work: estimates the load of servers.
        versions: decides which version of a service an attempt may take.
    """

    pool: ExchangeTransport
    candidates: ServerLookup
    admit: AdmissionCheck
    extra_load: Callable[[str], ExtraLoadBudget]
    wait_until_current: Callable[[], Awaitable[None]]
    make_encoder: RequestEncoderFactory
    clock: Clock
    log: DecisionLog
    domain: str
    sequence_numbers: count[int]
    open_work: OpenWork
    versions: VersionChoice = field(default_factory=AnyVersion)
