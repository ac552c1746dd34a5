"""Conditional writes of leases to the platform."""

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

RETRY_INTERVAL_S = 0.5


class LeaseWriter:
    """Writes leases and applies successful writes to the configuration at once.

    Parameters:
        platform: store of the leases.
        configuration: local documents that a written lease is applied to.
    """

    def __init__(
        self,
        platform: Platform,
        configuration: Configuration,
        log: DecisionLog,
    ) -> None:
        """Initialize with the store and the local documents."""
        self._platform = platform
        self._configuration = configuration
        self._log = log

    async def write(self, lease: Lease, reason: str) -> bool | None:
        """Write a lease if its stored version is still ``lease.version``.

        Parameters:
            reason: logged with the write.

        Returns:
            True if written, False on a version conflict, None if the outcome
            is unknown.
        """
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

    async def write_until_outcome_known(
        self, lease: Lease, reason: str
    ) -> None:
        """Repeat a conditional write until its outcome is known.

        A server must not be used while it is unknown whether its lease has
        been given up. Repeating the conditional write resolves this: it
        succeeds or reports a version conflict.
        """
        while await self.write(lease, reason) is None:
            await curio.sleep(RETRY_INTERVAL_S)
