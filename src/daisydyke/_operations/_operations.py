"""Operators' reads and conditional updates of documents."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import msgspec
from returns.result import Failure, Result, Success

from .._domain._model import Address
from .._ports import Clock, Platform, StoredObject
from .._queries._caller_bodies import StatusBody
from .._settings._documents import SwitchDocument, parse_service
from ..exceptions import (
    DaisydykeError,
    PlatformError,
    VersionConflictError,
)

_RETRY_INTERVAL_S = 0.5
_STATUS_POLL_INTERVAL_S = 0.1
DEFAULT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that the platform has accepted.

    Parameters:
        name: name of the document.
        version: platform version of the stored document.
        changed: False if the platform already held the same text.
    """

    name: str
    version: int
    changed: bool


class Operations:
    """Reads and writes documents for operators.

    Parameters:
        timeout: seconds for which a write without a certain outcome is
            repeated.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Initialize with the timeout for repeated writes."""
        self._platform = platform
        self._clock = clock
        self._timeout_s = timeout

    async def show(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject | None, PlatformError]:
        """Read one document.

        Returns:
            None if there is no such document.
        """
        return await self._platform.read(kind, name)

    async def list_documents(
        self,
        kind: str,
    ) -> Result[tuple[StoredObject, ...], PlatformError]:
        """Return all documents of a kind."""
        listing = await self._platform.list_objects((kind,))
        return listing.map(lambda listed: listed.objects)

    async def apply_service(
        self,
        text: bytes,
        source: str,
        expected: int | None = None,
    ) -> Result[AcceptedChange, DaisydykeError]:
        """Validate a service document and write it.

        Parameters:
            text: document as JSON text.
            source: file name for error messages.
            expected: version that the change is based on; None for the
                current version.

        Returns:
            The accepted change; InvalidDocumentError for an invalid document,
            VersionConflictError if the stored version is not ``expected``.
        """
        parsed = parse_service(text, source)
        if not isinstance(parsed, Success):
            return Failure(parsed.failure())
        return await self._write_if_changed(
            'service',
            parsed.unwrap().name,
            text,
            expected,
        )

    async def switch(
        self,
        scope: str,
        target: str,
        *,
        out: bool,
    ) -> Result[AcceptedChange, DaisydykeError]:
        """Take a failure domain or a VM out of service or return it.

        Parameters:
            scope: ``domain`` or ``vm``.
            target: name of the failure domain or VM.
            out: True to take it out of service.
        """
        text = msgspec.json.encode(SwitchDocument('out' if out else 'in'))
        return await self._write_if_changed(
            'switch', f'{scope}-{target}', text, None
        )

    async def _write_if_changed(
        self,
        kind: str,
        name: str,
        text: bytes,
        expected: int | None,
    ) -> Result[AcceptedChange, DaisydykeError]:
        current = await self._platform.read(kind, name)
        if not isinstance(current, Success):
            return Failure(current.failure())
        stored = current.unwrap()
        version = stored.version if stored else 0
        if expected is not None and expected != version:
            return Failure(VersionConflictError(name, expected, version))
        if stored is not None and stored.text == text:
            return Success(AcceptedChange(name, version, changed=False))
        return await self._write_until_outcome_known(kind, name, text, version)

    async def _write_until_outcome_known(
        self,
        kind: str,
        name: str,
        text: bytes,
        version: int,
    ) -> Result[AcceptedChange, DaisydykeError]:
        # A write without a response may take effect after a read that does
        # not show it. Only repeating the conditional write gives a certain
        # outcome.
        deadline = self._clock.monotonic() + self._timeout_s
        while True:
            outcome = await self._platform.write(kind, name, text, version)
            if isinstance(outcome, Success):
                return Success(
                    AcceptedChange(name, outcome.unwrap(), changed=True)
                )
            error = outcome.failure()
            if isinstance(error, VersionConflictError):
                return await self._read_back(kind, name, text, error)
            if self._clock.monotonic() > deadline:
                return Failure(error)
            await curio.sleep(_RETRY_INTERVAL_S)

    async def _read_back(
        self,
        kind: str,
        name: str,
        text: bytes,
        conflict: VersionConflictError,
    ) -> Result[AcceptedChange, DaisydykeError]:
        current = await self._platform.read(kind, name)
        if not isinstance(current, Success):
            return Failure(current.failure())
        stored = current.unwrap()
        if stored is not None and stored.text == text:
            return Success(AcceptedChange(name, stored.version, changed=True))
        return Failure(conflict)


@dataclass(frozen=True, slots=True)
class NodeReport:
    """Documents in force on one entry VM.

    Parameters:
        vm: name of the VM.
        address: address for callers.
        status: status of the VM, None if it is unreachable.
    """

    vm: str
    address: Address
    status: StatusBody | None


ReadReports = Callable[[], Awaitable[list[NodeReport]]]


async def wait_in_force(
    read_reports: ReadReports,
    key: str,
    version: int,
    timeout: float,
) -> list[str]:
    """Wait until a document's version is in force on every entry VM.

    Parameters:
        read_reports: reads the current report of each entry VM.
        key: kind and name of the document, such as ``service/rota``.
        version: least platform version to wait for.
        timeout: seconds to wait.

    Returns:
        Names of the VMs that lag or do not respond when the wait ends.
    """
    deadline = await curio.clock() + timeout
    while True:
        reports = await read_reports()
        lagging = [
            report.vm
            for report in reports
            if report.status is None
            or report.status.objects.get(key, 0) < version
        ]
        if not lagging or await curio.clock() > deadline:
            return lagging
        await curio.sleep(_STATUS_POLL_INTERVAL_S)
