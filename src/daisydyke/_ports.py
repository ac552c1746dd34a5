"""Interfaces through which the core uses I/O and the runtime."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ._domain._model import ServerState, SubAnswer, SubFailure, SubRequest
from .exceptions import PlatformError

SubResult = Result[SubAnswer, SubFailure]


class Clock(Protocol):
    """Monotonic clock of the runtime."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary, fixed point in time."""


class DecisionLog(Protocol):
    """Structured log of routing and placement decisions."""

    def record(self, decision: str, **fields: object) -> None:
        """Write one record.

        Parameters:
            decision: kind of the decision.
            fields: details of the decision.
        """


class Metrics(Protocol):
    """Counters and timers of a daemon."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add ``count`` to the counter ``stat``."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration of ``delta`` milliseconds in the timer ``stat``."""


class SubResultSink(Protocol):
    """Receiver of sub-request results."""

    async def deliver(self, sub_id: int, outcome: SubResult) -> None:
        """Accept the result of a sub-request; called once per sub-request.

        Parameters:
            sub_id: identifier of the sub-request.
            outcome: its rows or the reason of its failure.
        """


class SubRequestRoute(Protocol):
    """Routes sub-requests to the owners of their backend servers."""

    async def submit(self, request: SubRequest, sink: SubResultSink) -> None:
        """Start a sub-request; deliver its result to the sink exactly once."""

    async def cancel(self, request: SubRequest) -> None:
        """Cancel a sub-request whose result is no longer needed."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object stored in the platform.

    Parameters:
        version: platform version of the object's last change; it increases
            with every change of any object.
        text: JSON text; None if the object is deleted.
    """

    kind: str
    name: str
    version: int
    text: bytes | None


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects of the requested kinds as of one platform version."""

    version: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class VmRecord:
    """Entry of the platform's VM list, which may be out of date.

    Parameters:
        leaving: whether the VM is being removed.
        speed: processing speed of a process on the VM; 1 is a whole core.
    """

    name: str
    address: str
    leaving: bool
    speed: float = 1


class Platform(Protocol):
    """Client of the platform's object API."""

    async def read(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject | None, PlatformError]:
        """Read one object.

        Returns:
            The object, or None if it does not exist.
        """

    async def list_objects(
        self,
        kinds: Sequence[str],
    ) -> Result[Listing, PlatformError]:
        """Read all objects of the given kinds."""

    async def watch(
        self,
        kinds: Sequence[str],
        after: int,
        wait: float,
    ) -> Result[Listing, PlatformError]:
        """Wait for changes to objects of the given kinds.

        Parameters:
            after: platform version after which changes are returned.
            wait: longest time to wait, in seconds.
        """

    async def write(
        self,
        kind: str,
        name: str,
        text: bytes,
        expected: int,
    ) -> Result[int, PlatformError]:
        """Create or replace an object if its version is as expected.

        Parameters:
            text: JSON text of the object.
            expected: current version of the object; 0 to create it.

        Returns:
            The new version. After PlatformUnavailableError, it is unknown
            whether the write has happened.
        """

    async def list_vms(self) -> Result[tuple[VmRecord, ...], PlatformError]:
        """Read the list of VMs, including those that are leaving."""


class ServerConnection(Protocol):
    """Connection to a backend server."""

    async def run(self, request: SubRequest, timeout: float) -> SubResult:
        """Send a sub-request and read its whole response.

        Parameters:
            timeout: longest time for the response, in seconds.
        """

    async def state(self, timeout: float) -> Result[ServerState, SubFailure]:
        """Read the phase and the index versions that the server reports.

        Parameters:
            timeout: longest time for the response, in seconds.
        """

    async def close(self) -> None:
        """Close the connection, which cancels a request in progress."""
