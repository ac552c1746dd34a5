"""Routing of sub-requests to the owner of their backend server."""

from __future__ import annotations

from returns.result import Failure as Failed

from .._domain._model import Failure, SubFailure, SubRequest
from .._limits._ownership import Ownership
from .._operations._configuration import Configuration
from .._peers._peers import PeerLinks
from .._ports import SubResultSink


class OwnerRoute:
    """Sends sub-requests to the local gate or to the lease holder's VM.

    Parameters:
        vm: name of this VM.
    """

    def __init__(
        self,
        vm: str,
        configuration: Configuration,
        ownership: Ownership,
        links: PeerLinks,
    ) -> None:
        """Initialize a route by the leases of ``configuration``."""
        self._vm = vm
        self._configuration = configuration
        self._ownership = ownership
        self._links = links

    def owner_of(self, server_id: str) -> str:
        """Return the VM that holds a server's lease, empty if there is none."""
        lease = self._configuration.leases.get(server_id)
        return lease.holder.vm if lease else ''

    async def submit(self, request: SubRequest, sink: SubResultSink) -> None:
        """Start a sub-request; its result is delivered exactly once.

        The result is the failure ``FENCED`` if this VM holds the lease but
        has no gate for the server, ``LOST`` if there is no link to the owner.
        """
        owner = self.owner_of(request.server_id)
        gate = self._ownership.gates.get(request.server_id)
        if owner == self._vm and gate is not None:
            await gate.submit(request, sink)
            return
        link = self._links.get(owner)
        if link is not None:
            await link.submit(request, sink)
            return
        reason = Failure.FENCED if owner == self._vm else Failure.LOST
        failure = SubFailure(reason, sent=False)
        await sink.deliver(request.sub_id, Failed(failure))

    async def cancel(self, request: SubRequest) -> None:
        """Cancel a sub-request whose result is no longer needed."""
        owner = self.owner_of(request.server_id)
        gate = self._ownership.gates.get(request.server_id)
        if owner == self._vm and gate is not None:
            await gate.cancel(request.sub_id)
            return
        link = self._links.get(owner)
        if link is not None:
            await link.cancel(request.sub_id)
