"""HTTP client of the platform's store, for the gateway daemon."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import suppress
from functools import partial
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

import curio
import msgspec
from returns.result import Failure, Result, Success

from .._adapters._http_client import HttpConnection, HttpRequest, HttpResponse
from .._decoding import DECODING_ERRORS
from .._domain._model import Address
from .._ports import Listing, StoredObject, VmRecord
from ..exceptions import (
    DaisydykeError,
    HistoryGoneError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from ._pages import (
    Meta,
    ObjectBody,
    Page,
    StatusBody,
    decode_events,
    decode_object,
    decode_page,
)

VM_KIND = 'entry-vms'

_CONNECT_TIMEOUT_S = 0.8
_CALL_TIMEOUT_S = 1.5
# Time after the wait of a watch in which the store must answer.
_WATCH_MARGIN_S = 1.5
_MS_PER_S = 1000
# Sorts after the names of all objects, so that a list from it is empty.
_LAST_NAME = '~'
_CALL_ERRORS = (DaisydykeError, curio.TaskTimeout, *DECODING_ERRORS)
_ParsedT = TypeVar('_ParsedT')


class _VmEntry(msgspec.Struct):
    address: str
    leaving: bool = False
    # Processing speed of a process on the VM; 1 is a whole core.
    speed: float = 1


class ObjectStore:
    """Client of the store's object protocol.

    The watches of a kind reuse one connection until a call on it fails; every
    other call opens a connection of its own.

    Parameters:
        address: address of the store.

    Attributes:
        call_count: calls made so far.
    """

    def __init__(self, address: Address) -> None:
        """Initialize without connections; each call connects if needed."""
        self._address = address
        self._watch_connections: dict[str, HttpConnection] = {}
        self.call_count = 0

    async def read(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject | None, PlatformError]:
        """Read one object; None if it does not exist."""
        request = HttpRequest('GET', _path(kind, name))
        return await self._call(
            request, lambda response: _parse_object(kind, response)
        )

    async def list_objects(
        self,
        kinds: Sequence[str],
    ) -> Result[Listing, PlatformError]:
        """Read all objects of some kinds, page by page.

        Returns:
            The objects, with the lowest of the kinds' store revisions, each
            taken from the first page of its kind.
        """
        objects: list[StoredObject] = []
        versions: list[int] = []
        for kind in kinds:
            outcome = await self._list(kind, objects, allow_stale=False)
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
        """Wait for changes of one kind after a version.

        Parameters:
            kinds: its first item is watched, the others are ignored.
            after: store revision after which changes are returned.
            wait: seconds to wait for a change.

        Returns:
            The changes, deletions with None as text, and the revision to
            watch from next.
        """
        kind = kinds[0]
        target = f'{_path(kind)}?watch={after}&wait_ms={int(wait * _MS_PER_S)}'
        connection = self._watch_connections.setdefault(
            kind,
            HttpConnection(self._address, detect_dead_peer=True),
        )
        return await self._call(
            HttpRequest('GET', target),
            lambda response: decode_events(kind, after, response.body),
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
        """Replace an object if its version is ``expected``, 0 to create.

        Returns:
            The new version, or a failure: VersionConflictError with the
            current version, 0 if the object does not exist. After
            PlatformUnavailableError the write may have happened.
        """
        body = msgspec.json.encode(
            ObjectBody(Meta(name, expected), msgspec.Raw(text)),
        )
        request = HttpRequest('PUT', _path(kind, name), body)
        if not expected:
            request = HttpRequest('POST', _path(kind), body)
        return await self._call(
            request,
            lambda response: _parse_version(name, expected, response),
        )

    async def write_status(
        self,
        kind: str,
        name: str,
        status: bytes,
        expected: int,
    ) -> Result[int, PlatformError]:
        """Replace the status of an object if its version is ``expected``.

        Returns:
            As for ``write``.
        """
        body = msgspec.json.encode(
            StatusBody(Meta(name, expected), msgspec.Raw(status)),
        )
        return await self._call(
            HttpRequest('PUT', f'{_path(kind, name)}/status', body),
            lambda response: _parse_version(name, expected, response),
        )

    async def newest_version(self) -> Result[int, PlatformError]:
        """Read the store's version, which may be seconds old."""
        target = f'{_path(VM_KIND)}?after={_LAST_NAME}&serializable=1'
        outcome = await self._call(
            HttpRequest('GET', target),
            partial(_parse_page, VM_KIND),
        )
        return outcome.map(lambda page: page.version)

    async def read_changes(
        self, kind: str, after: int
    ) -> Result[Listing, PlatformError]:
        """Read the changes of a kind, which may lack those of some seconds.

        Parameters:
            after: store revision after which changes are returned.

        Returns:
            The changes, deletions with None as text, and the revision up to
            which there are no others.
        """
        target = f'{_path(kind)}?watch={after}&wait_ms=1&serializable=1'
        return await self._call(
            HttpRequest('GET', target),
            lambda response: decode_events(kind, after, response.body),
        )

    async def list_vms(self) -> Result[tuple[VmRecord, ...], PlatformError]:
        """Read the registered entry VMs; the list may be seconds old."""
        objects: list[StoredObject] = []
        outcome = await self._list(VM_KIND, objects, allow_stale=True)
        return outcome.map(lambda _: tuple(_to_vm_records(objects)))

    async def register_vm(self, record: VmRecord) -> Result[int, PlatformError]:
        """Register an entry VM, replacing an earlier entry of its name."""
        entry = _VmEntry(record.address, record.leaving, record.speed)
        text = msgspec.json.encode(entry)
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
        allow_stale: bool,
    ) -> Result[int, PlatformError]:
        after = ''
        version = 0
        while True:
            target = f'{_path(kind)}?after={quote(after, safe="")}'
            if allow_stale:
                target = f'{target}&serializable=1'
            outcome = await self._call(
                HttpRequest('GET', target),
                partial(_parse_page, kind),
            )
            if not isinstance(outcome, Success):
                return Failure(outcome.failure())
            page = outcome.unwrap()
            objects.extend(page.objects)
            version = version or page.version
            if not page.has_more or not page.objects:
                return Success(version)
            after = page.objects[-1].name

    async def _call(
        self,
        request: HttpRequest,
        parse: Callable[[HttpResponse], _ParsedT],
        timeout: float = _CALL_TIMEOUT_S,
        persistent: HttpConnection | None = None,
    ) -> Result[_ParsedT, PlatformError]:
        connection = persistent or HttpConnection(self._address)
        self.call_count += 1
        outcome: Result[_ParsedT, PlatformError]
        try:
            await _connect(connection)
            async with curio.timeout_after(timeout):
                response = await connection.request(request)
            outcome = Success(_check_and_parse(response, parse))
        except PlatformError as error:
            # The traceback refers to this frame, which holds the response.
            outcome = Failure(error.with_traceback(None))
        except _CALL_ERRORS as cause:
            reason = f'{type(cause).__name__}: {cause}'
            outcome = Failure(PlatformUnavailableError(reason))
        if persistent is None or not isinstance(outcome, Success):
            await connection.close()
        return outcome


async def _connect(connection: HttpConnection) -> None:
    """Connect if needed, with a time-out separate from that of the call.

    The kernel retransmits a lost SYN at growing intervals, so an attempt
    begun during a network partition would outlast it.
    """
    if connection.reusable:
        return
    async with curio.timeout_after(_CONNECT_TIMEOUT_S):
        await connection.connect()


def _check_and_parse(
    response: HttpResponse,
    parse: Callable[[HttpResponse], _ParsedT],
) -> _ParsedT:
    throttled = response.status == HTTPStatus.TOO_MANY_REQUESTS
    if throttled or response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise PlatformUnavailableError(
            f'store answered with status {response.status}'
        )
    if response.status == HTTPStatus.GONE:
        raise HistoryGoneError(
            'store has discarded the changes after the watched revision',
        )
    return parse(response)


def _path(kind: str, name: str | None = None) -> str:
    if name is None:
        return f'/-/objects/{kind}'
    escaped = quote(name, safe='')
    return f'/-/objects/{kind}/{escaped}'


def _parse_object(kind: str, response: HttpResponse) -> StoredObject | None:
    if response.status == HTTPStatus.NOT_FOUND:
        return None
    return decode_object(kind, response.body)


def _parse_page(kind: str, response: HttpResponse) -> Page:
    return decode_page(kind, response.body)


def _parse_version(name: str, expected: int, response: HttpResponse) -> int:
    if response.status == HTTPStatus.NOT_FOUND:
        raise VersionConflictError(name, expected, 0)
    current = msgspec.json.decode(response.body, type=ObjectBody)
    if response.status == HTTPStatus.CONFLICT:
        raise VersionConflictError(name, expected, current.meta.revision)
    return current.meta.revision


def _to_vm_records(objects: Iterable[StoredObject]) -> Iterator[VmRecord]:
    """Yield the entries that can be read; others name no VM."""
    for stored in objects:
        with suppress(*DECODING_ERRORS):
            yield _to_vm_record(stored)


def _to_vm_record(stored: StoredObject) -> VmRecord:
    entry = msgspec.json.decode(stored.text or b'', type=_VmEntry)
    return VmRecord(
        stored.name,
        entry.address,
        entry.leaving,
        entry.speed,
    )
