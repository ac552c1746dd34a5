"""Client of the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

import curio
import msgspec
from returns.result import Failure, Result, Success

from .._adapters._http_client import HttpConnection, HttpRequest, HttpResponse
from .._domain._model import Address
from .._ports import Listing, StoredObject, VmRecord
from ..exceptions import (
    DaisydykeError,
    HistoryGoneError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)

VM_KIND = 'entry-vms'

_CONNECT_TIMEOUT_S = 0.8
_CALL_TIMEOUT_S = 1.5
_WATCH_MARGIN_S = 1.5
_MS = 1000
_ParsedT = TypeVar('_ParsedT')


class _Meta(msgspec.Struct):
    name: str
    # The store's revision at the object's latest change.
    revision: int = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Items(msgspec.Struct):
    items: list[_Object]
    at_rev: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    at_rev: int


class _Vm(msgspec.Struct):
    address: str
    leaving: bool = False
    speed: float = 1


class ObjectStore:
    """Speaks the store's protocol; one connection for each kind's watch."""

    def __init__(self, address: Address) -> None:
        """Connect later."""
        self._address = address
        self._watches: dict[str, HttpConnection] = {}
        self.calls = 0

    async def read(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject | None, PlatformError]:
        """Read one object; None if there is none."""
        request = HttpRequest('GET', _path(kind, name))
        return await self._call(request, lambda got: _to_object(kind, got))

    async def list_objects(
        self,
        kinds: Sequence[str],
    ) -> Result[Listing, PlatformError]:
        """Read all objects of some kinds, page by page."""
        objects: list[StoredObject] = []
        versions: list[int] = []
        for kind in kinds:
            outcome = await self._list(kind, objects, stale=False)
            if not isinstance(outcome, Success):
                return Failure(outcome.failure())
            versions.append(outcome.unwrap())
        return Success(Listing(min(versions, default=0), tuple(objects)))

    async def watch(
        self,
        kinds: Sequence[str],
        after: int,
        wait: float,
    ) -> Result[Listing, PlatformError]:
        """Wait up to ``wait`` seconds for changes of one kind."""
        kind = kinds[0]
        target = f'{_path(kind)}?watch={after}&wait_ms={int(wait * _MS)}'
        connection = self._watches.setdefault(
            kind,
            HttpConnection(self._address, detect_dead_peer=True),
        )
        return await self._call(
            HttpRequest('GET', target),
            lambda got: _to_changes(kind, got),
            wait + _WATCH_MARGIN_S,
            connection,
        )

    async def write(
        self,
        kind: str,
        name: str,
        text: bytes,
        expected: int,
    ) -> Result[int, PlatformError]:
        """Replace an object if its version is ``expected``, 0 to create."""
        body = msgspec.json.encode(
            _Object(_Meta(name, expected), msgspec.Raw(text)),
        )
        request = HttpRequest('PUT', _path(kind, name), body)
        if not expected:
            request = HttpRequest('POST', _path(kind), body)
        return await self._call(
            request,
            lambda got: _to_version(name, expected, got),
        )

    async def list_vms(self) -> Result[tuple[VmRecord, ...], PlatformError]:
        """Read the entry VMs that have registered; may lag by seconds."""
        objects: list[StoredObject] = []
        outcome = await self._list(VM_KIND, objects, stale=True)
        return outcome.map(lambda _: tuple(map(_to_vm, objects)))

    async def register_vm(self, record: VmRecord) -> Result[int, PlatformError]:
        """Add an entry VM to the list; one that is there stays."""
        vm = _Vm(record.address, record.leaving, record.speed)
        text = msgspec.json.encode(vm)
        outcome = await self.write(VM_KIND, record.name, text, 0)
        if isinstance(outcome, Success):
            return outcome
        error = outcome.failure()
        if not isinstance(error, VersionConflictError):
            return outcome
        return await self.write(VM_KIND, record.name, text, error.current)

    async def _list(
        self,
        kind: str,
        objects: list[StoredObject],
        *,
        stale: bool,
    ) -> Result[int, PlatformError]:
        after = ''
        version = 0
        while True:
            target = f'{_path(kind)}?after={quote(after, safe="")}'
            if stale:
                target = f'{target}&serializable=1'
            outcome = await self._call(HttpRequest('GET', target), _to_items)
            if not isinstance(outcome, Success):
                return Failure(outcome.failure())
            page = outcome.unwrap()
            objects.extend(_stored(kind, one) for one in page.items)
            version = version or page.at_rev
            if not page.has_more or not page.items:
                return Success(version)
            after = page.items[-1].meta.name

    async def _call(
        self,
        request: HttpRequest,
        parse: Callable[[HttpResponse], _ParsedT],
        timeout: float = _CALL_TIMEOUT_S,
        kept: HttpConnection | None = None,
    ) -> Result[_ParsedT, PlatformError]:
        connection = kept or HttpConnection(self._address)
        self.calls += 1
        outcome: Result[_ParsedT, PlatformError]
        try:
            await _open(connection)
            async with curio.timeout_after(timeout):
                response = await connection.request(request)
            outcome = Success(_parse(response, parse))
        except PlatformError as error:
            outcome = Failure(error)
        except (DaisydykeError, curio.TaskTimeout, msgspec.MsgspecError) as bad:
            reason = f'{type(bad).__name__}: {bad}'
            outcome = Failure(PlatformUnavailableError(reason))
        if kept is None or not isinstance(outcome, Success):
            await connection.close()
        return outcome


async def _open(connection: HttpConnection) -> None:
    """Connect if needed, within a time of its own.

    The kernel repeats a lost opening packet ever later, so that an attempt
    begun while the store was out of reach would outlast the partition.
    """
    if connection.reusable:
        return
    async with curio.timeout_after(_CONNECT_TIMEOUT_S):
        await connection.connect()


def _parse(
    response: HttpResponse,
    parse: Callable[[HttpResponse], _ParsedT],
) -> _ParsedT:
    refused = response.status == HTTPStatus.TOO_MANY_REQUESTS
    if refused or response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise PlatformUnavailableError(f'status {response.status}')
    if response.status == HTTPStatus.GONE:
        raise HistoryGoneError('the changes since then are no longer kept')
    return parse(response)


def _path(kind: str, name: str | None = None) -> str:
    if name is None:
        return f'/-/objects/{kind}'
    escaped = quote(name, safe='')
    return f'/-/objects/{kind}/{escaped}'


def _stored(kind: str, found: _Object) -> StoredObject:
    return StoredObject(
        kind,
        found.meta.name,
        found.meta.revision,
        bytes(found.spec),
    )


def _to_object(kind: str, response: HttpResponse) -> StoredObject | None:
    if response.status == HTTPStatus.NOT_FOUND:
        return None
    return _stored(kind, msgspec.json.decode(response.body, type=_Object))


def _to_items(response: HttpResponse) -> _Items:
    return msgspec.json.decode(response.body, type=_Items)


def _to_changes(kind: str, response: HttpResponse) -> Listing:
    found = msgspec.json.decode(response.body, type=_Events)
    changes = [
        StoredObject(
            kind,
            event.object.meta.name,
            event.object.meta.revision,
            None if event.deleted else bytes(event.object.spec),
        )
        for event in found.events
    ]
    return Listing(found.at_rev, tuple(changes))


def _to_version(name: str, expected: int, response: HttpResponse) -> int:
    if response.status == HTTPStatus.NOT_FOUND:
        raise VersionConflictError(name, expected, 0)
    found = msgspec.json.decode(response.body, type=_Object)
    if response.status == HTTPStatus.CONFLICT:
        raise VersionConflictError(name, expected, found.meta.revision)
    return found.meta.revision


def _to_vm(stored: StoredObject) -> VmRecord:
    found = msgspec.json.decode(stored.text or b'', type=_Vm)
    return VmRecord(
        stored.name,
        found.address,
        found.leaving,
        found.speed,
    )
