"""Interfaces between the core and what surrounds it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ._domain._model import ServerState, SubAnswer, SubFailure, SubRequest
from .exceptions import PlatformError

SubResult = Result[SubAnswer, SubFailure]


class Clock(Protocol):
    """The runtime's clock."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary start."""


class DecisionLog(Protocol):
    """Takes one record for each routing or placement decision."""

    def record(self, decision: str, **fields: object) -> None:
        """Write a record; ``decision`` names its kind."""


class Metrics(Protocol):
    """Counters and timers of the daemon."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class SubResultSink(Protocol):
    """Receives results of sub-requests."""

    async def deliver(self, sub_id: int, outcome: SubResult) -> None:
        """Take the one result of a sub-request."""


class SubRequestRoute(Protocol):
    """Carries sub-requests to the owner of their backend server."""

    async def submit(self, request: SubRequest, sink: SubResultSink) -> None:
        """Start a sub-request; its result reaches the sink exactly once."""

    async def cancel(self, request: SubRequest) -> None:
        """Stop a sub-request whose result is no longer wanted."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the platform.

    Parameters:
        version: rises with every change of any object.
        text: JSON text, or None once deleted.
    """

    kind: str
    name: str
    version: int
    text: bytes | None


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects of some kinds as of one platform version."""

    version: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM on the platform's list, which lags.

    Parameters:
        speed: how fast a process runs there, 1 for a whole core.
    """

    name: str
    address: str
    leaving: bool
    speed: float = 1


class Platform(Protocol):
    """The platform's object API."""

    async def read(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject | None, PlatformError]:
        """Read one object; None if there is none."""

    async def list_objects(
        self,
        kinds: Sequence[str],
    ) -> Result[Listing, PlatformError]:
        """Read all objects of some kinds."""

    async def watch(
        self,
        kinds: Sequence[str],
        after: int,
        wait: float,
    ) -> Result[Listing, PlatformError]:
        """Wait up to ``wait`` seconds for changes after a version."""

    async def write(
        self,
        kind: str,
        name: str,
        text: bytes,
        expected: int,
    ) -> Result[int, PlatformError]:
        """Replace an object if its version is ``expected``, 0 to create.

        Returns:
            The new version. PlatformUnavailableError leaves open whether the
            write has happened.
        """

    async def list_vms(self) -> Result[tuple[VmRecord, ...], PlatformError]:
        """Read the list of live and leaving VMs."""


class ServerConnection(Protocol):
    """One connection to a backend server."""

    async def run(self, request: SubRequest, timeout: float) -> SubResult:
        """Send a sub-request and read its whole response."""

    async def state(self, timeout: float) -> Result[ServerState, SubFailure]:
        """Read the index versions that the server says it serves."""

    async def close(self) -> None:
        """Close; this cancels a request that is still running."""
