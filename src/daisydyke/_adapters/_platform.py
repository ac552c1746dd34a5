"""HTTP client of the object API, for the entry daemon and operators."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from functools import partial
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

import curio
import msgspec
from returns.result import Failure, Result, Success

from .._decoding import DECODING_ERRORS
from .._domain._model import Address
from .._ports import Listing, StoredObject, VmRecord
from ..exceptions import (
    DaisydykeError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from ._http_client import HttpConnection, HttpRequest, HttpResponse
from ._json_parts import split_array, split_object

_CALL_TIMEOUT_S = 2.0
_CALL_ERRORS = (DaisydykeError, curio.TaskTimeout, *DECODING_ERRORS)
_ParsedT = TypeVar('_ParsedT')


class _ObjectBody(msgspec.Struct):
    kind: str
    name: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b'null')


class _ListBody(msgspec.Struct):
    version: int
    objects: list[_ObjectBody]


class _VersionBody(msgspec.Struct):
    version: int


class _VmBody(msgspec.Struct):
    name: str
    address: str
    leaving: bool = False


class _VmListBody(msgspec.Struct):
    vms: list[_VmBody]


class HttpPlatform:
    """Platform over HTTP; see docs/INTERFACES.md for the protocol.

    Each call, including each watch, uses a connection of its own, so that a
    pending watch does not delay other calls.

    Parameters:
        address: address of the platform.
    """

    def __init__(self, address: Address) -> None:
        """Initialize without connecting; each call connects."""
        self._address = address

    async def read(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject | None, PlatformError]:
        """Read one object.

        Returns:
            The object, or None if it does not exist.
        """
        path = _object_path(kind, name)
        return await self._call(HttpRequest('GET', path), _parse_object)

    async def list_objects(
        self,
        kinds: Sequence[str],
    ) -> Result[Listing, PlatformError]:
        """Read all objects of the given kinds."""
        joined = ','.join(kinds)
        path = f'/v1/objects?kinds={joined}'
        return await self._call(HttpRequest('GET', path), _parse_listing)

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
        query = urlencode(
            {
                'kinds': ','.join(kinds),
                'after': after,
                'wait_ms': int(wait * 1000),
            },
        )
        path = f'/v1/watch?{query}'
        return await self._call(
            HttpRequest('GET', path),
            _parse_listing,
            wait + _CALL_TIMEOUT_S,
        )

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
        request = HttpRequest(
            'PUT',
            _object_path(kind, name),
            text,
            {'if-match': str(expected)},
        )
        return await self._call(
            request,
            partial(_parse_version, name, expected),
        )

    async def list_vms(self) -> Result[tuple[VmRecord, ...], PlatformError]:
        """Read the list of VMs, including those that are leaving."""
        return await self._call(HttpRequest('GET', '/v1/vms'), _parse_vms)

    async def _call(
        self,
        request: HttpRequest,
        parse: Callable[[HttpResponse], _ParsedT],
        timeout: float = _CALL_TIMEOUT_S,
    ) -> Result[_ParsedT, PlatformError]:
        connection = HttpConnection(self._address)
        try:
            async with curio.timeout_after(timeout):
                response = await connection.request(request)
            return Success(_check_and_parse(response, parse))
        except PlatformError as error:
            return Failure(error)
        except _CALL_ERRORS as cause:
            return Failure(PlatformUnavailableError(str(cause)))
        finally:
            await connection.close()


def _check_and_parse(
    response: HttpResponse,
    parse: Callable[[HttpResponse], _ParsedT],
) -> _ParsedT:
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise PlatformUnavailableError(f'status {response.status}')
    return parse(response)


def _object_path(kind: str, name: str) -> str:
    escaped = quote(name, safe='')
    return f'/v1/objects/{kind}/{escaped}'


def _parse_version(name: str, expected: int, response: HttpResponse) -> int:
    body = msgspec.json.decode(response.body, type=_VersionBody)
    if response.status == HTTPStatus.CONFLICT:
        raise VersionConflictError(name, expected, body.version)
    return body.version


def _parse_object(response: HttpResponse) -> StoredObject | None:
    if response.status == HTTPStatus.NOT_FOUND:
        return None
    return _to_object(msgspec.json.decode(response.body, type=_ObjectBody))


def _parse_listing(response: HttpResponse) -> Listing:
    try:
        body = msgspec.json.decode(response.body, type=_ListBody)
    except DECODING_ERRORS:
        return _salvage_listing(response.body)
    return Listing(body.version, tuple(map(_to_object, body.objects)))


def _salvage_listing(text: bytes) -> Listing:
    """Decode a list of which single objects cannot be decoded."""
    members = split_object(text)
    version = msgspec.json.decode(members.get('version', b''), type=int)
    return Listing(
        version, tuple(_salvage_objects(members.get('objects', b'')))
    )


def _salvage_objects(text: bytes) -> Iterator[StoredObject]:
    for item in split_array(text):
        # Without a readable name, it is no document.
        with suppress(KeyError, *DECODING_ERRORS):
            yield _salvage_object(item)


def _salvage_object(text: bytes) -> StoredObject:
    members = split_object(text)
    return _to_object(
        _ObjectBody(
            msgspec.json.decode(members['kind'], type=str),
            msgspec.json.decode(members['name'], type=str),
            msgspec.json.decode(members['version'], type=int),
            msgspec.Raw(members.get('value', b'null')),
        )
    )


def _parse_vms(response: HttpResponse) -> tuple[VmRecord, ...]:
    body = msgspec.json.decode(response.body, type=_VmListBody)
    return tuple(map(_to_vm, body.vms))


def _to_vm(body: _VmBody) -> VmRecord:
    return VmRecord(body.name, body.address, body.leaving)


def _to_object(body: _ObjectBody) -> StoredObject:
    text = bytes(body.value)
    if text == b'null':
        return StoredObject(body.kind, body.name, body.version, None)
    return StoredObject(body.kind, body.name, body.version, text)
