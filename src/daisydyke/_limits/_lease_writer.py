"""Writes leases to the platform under a condition."""

from __future__ import annotations

from uuid import uuid4

import curio
import msgspec
from returns.result import Success

from .._domain._model import Lease
from .._operations._configuration import Configuration
from .._ports import DecisionLog, Platform, StoredObject
from .._settings._documents import HolderModel, LeaseDocument
from ..exceptions import VersionConflictError

RETRY_S = 0.5


class LeaseWriter:
    """Writes leases and puts what was written into force at once."""

    def __init__(
        self,
        platform: Platform,
        configuration: Configuration,
        log: DecisionLog,
    ) -> None:
        """Keep what it writes to."""
        self._platform = platform
        self._configuration = configuration
        self._log = log

    async def write(self, lease: Lease, reason: str) -> bool | None:
        """Write a lease; tells whether it was written, None if not known."""
        document = LeaseDocument(
            HolderModel(lease.holder.vm, lease.holder.start),
            HolderModel(lease.floor_holder.vm, lease.floor_holder.start),
            uuid4().hex,
        )
        text = msgspec.json.encode(document)
        outcome = await self._platform.write(
            'lease',
            lease.server_id,
            text,
            lease.version,
        )
        self._log.record(
            'placement',
            server=lease.server_id,
            reason=reason,
            holder=lease.holder.vm,
            floor=lease.floor_holder.vm,
            written=isinstance(outcome, Success),
        )
        if isinstance(outcome, Success):
            version = outcome.unwrap()
            stored = StoredObject('lease', lease.server_id, version, text)
            self._configuration.apply([stored])
            return True
        if isinstance(outcome.failure(), VersionConflictError):
            return False
        return None

    async def write_until_known(self, lease: Lease, reason: str) -> None:
        """Repeat a write until it is known whether it happened.

        While it is not known whether a server was given away, it must not be
        used; a repeated conditional write settles it.
        """
        while await self.write(lease, reason) is None:
            await curio.sleep(RETRY_S)
