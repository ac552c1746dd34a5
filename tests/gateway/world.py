"""Values and fakes for tests of the gateway's parts."""

from __future__ import annotations

from collections.abc import Sequence

import curio
from returns.result import Failure, Result, Success

from daisydyke._adapters._datagrams import Member, Status
from daisydyke._backends._server import ServerRecord
from daisydyke._domain._model import Address
from daisydyke._ports import Listing, StoredObject
from daisydyke.exceptions import PlatformError


def server_record(server_id: str = 'i-1', **changes: object) -> ServerRecord:
    """Return the registration of a ready server."""
    members: dict[str, object] = {
        'server_id': server_id,
        'service': 'desk',
        'address': Address('127.0.0.1', 1),
        'domain': 'north',
        'slots': 2,
        'draining': False,
        'cold_for': 0,
        'started_ms': 1,
    }
    return ServerRecord(**{**members, **changes})  # type: ignore[arg-type]


def member(vm: str, **changes: object) -> Member:
    """Return a member that is alive."""
    members: dict[str, object] = {
        'vm': vm,
        'host': vm,
        'domain': 'north',
        'caller_port': 80,
        'peer_port': 81,
        'start': 1,
        'incarnation': 1,
        'status': Status.ALIVE,
    }
    return Member(**{**members, **changes})  # type: ignore[arg-type]


class ScriptedStore:
    """Answers lists and watches in the order of a script.

    Once the script is used up, calls wait for good.
    """

    def __init__(
        self,
        *script: Listing | PlatformError,
    ) -> None:
        """Keep the script."""
        self._script = list(script)
        self.calls: list[tuple[str, int]] = []

    async def list_objects(
        self,
        kinds: Sequence[str],
    ) -> Result[Listing, PlatformError]:
        """Answer a list."""
        return await self._next('list', 0)

    async def watch(
        self,
        kinds: Sequence[str],
        after: int,
        wait: float,
    ) -> Result[Listing, PlatformError]:
        """Answer a watch."""
        return await self._next('watch', after)

    async def _next(
        self,
        call: str,
        after: int,
    ) -> Result[Listing, PlatformError]:
        self.calls.append((call, after))
        if not self._script:
            await curio.sleep(1000)
        answer = self._script.pop(0)
        if isinstance(answer, PlatformError):
            return Failure(answer)
        return Success(answer)


class KeptObjects:
    """Sink that keeps what it is told."""

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[str, StoredObject] = {}
        self.replaced = 0

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Keep these objects only."""
        self.objects = {one.name: one for one in objects}
        self.replaced += 1

    async def change(self, stored: StoredObject) -> None:
        """Keep one object."""
        self.objects[stored.name] = stored
