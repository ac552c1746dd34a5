"""What operators do: conditional updates whose acceptance is certain."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import msgspec
from returns.result import Failure, Result, Success

from .._domain._model import Address
from .._ports import Clock, Platform, StoredObject
from .._queries._callers import StatusBody
from .._settings._documents import SwitchDocument, parse_service
from ..exceptions import (
    DaisydykeError,
    PlatformError,
    VersionConflictError,
)

_RETRY_S = 0.5
_POLL_S = 0.1
DEFAULT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change.

    Parameters:
        version: platform version at which it is stored.
        changed: False if the platform held the same text already.
    """

    name: str
    version: int
    changed: bool


class Operations:
    """Reads and writes documents for operators."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Give up after ``timeout`` seconds without a certain outcome."""
        self._platform = platform
        self._clock = clock
        self._timeout = timeout

    async def show(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject | None, PlatformError]:
        """Read one document."""
        return await self._platform.read(kind, name)

    async def list_documents(
        self,
        kind: str,
    ) -> Result[tuple[StoredObject, ...], PlatformError]:
        """Read all documents of a kind."""
        listing = await self._platform.list_objects((kind,))
        return listing.map(lambda found: found.objects)

    async def apply_service(
        self,
        text: bytes,
        source: str,
        expected: int | None = None,
    ) -> Result[AcceptedChange, DaisydykeError]:
        """Check a team's document and write it.

        Parameters:
            source: file name for errors.
            expected: version the change is based on; the current one if None.
        """
        parsed = parse_service(text, source)
        if not isinstance(parsed, Success):
            return Failure(parsed.failure())
        return await self._apply(
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
        """Take a failure domain or a VM out of service, or back in.

        Parameters:
            scope: ``domain`` or ``vm``.
        """
        text = msgspec.json.encode(SwitchDocument('out' if out else 'in'))
        return await self._apply('switch', f'{scope}-{target}', text, None)

    async def _apply(
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
        return await self._write_until_known(kind, name, text, version)

    async def _write_until_known(
        self,
        kind: str,
        name: str,
        text: bytes,
        version: int,
    ) -> Result[AcceptedChange, DaisydykeError]:
        # A write without a reply may still take effect after a read that
        # does not show it. Only the outcome of a repeated conditional write
        # is certain.
        deadline = self._clock.monotonic() + self._timeout
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
            await curio.sleep(_RETRY_S)

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
    """What one entry VM has in force; ``status`` is None if unreachable."""

    vm: str
    address: Address
    status: StatusBody | None


AllStatuses = Callable[[], Awaitable[list[NodeReport]]]


async def wait_in_force(
    read_all: AllStatuses,
    key: str,
    version: int,
    timeout: float,
) -> list[str]:
    """Wait until a document's version is in force on every VM that answers.

    Parameters:
        key: kind and name, such as ``service/rota``.

    Returns:
        The VMs that lag or do not answer after ``timeout`` seconds.
    """
    deadline = await curio.clock() + timeout
    while True:
        reports = await read_all()
        lagging = [
            report.vm
            for report in reports
            if report.status is None
            or report.status.objects.get(key, 0) < version
        ]
        if not lagging or await curio.clock() > deadline:
            return lagging
        await curio.sleep(_POLL_S)
