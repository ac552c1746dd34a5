"""Copies of stored objects, sent between entry VMs over HTTP.

``GET /mirrors/KIND?after=VERSION`` answers a MessagePack array of the version
up to which the sender knows the kind and of its objects. Nothing is listed if
that version is not above the one asked for.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs, quote, urlsplit

import curio
import msgspec
from returns.result import Failure, Result, Success

from .._domain._model import Address
from .._ports import Listing, StoredObject
from ..exceptions import (
    ConnectionLostError,
    DaisydykeError,
    ProtocolViolationError,
)
from ._http_client import HttpConnection, HttpRequest, HttpResponse

_ROOT = '/mirrors/'
_FETCH_TIMEOUT_S = 1.0


class _Object(msgspec.Struct, array_like=True):
    name: str
    version: int
    text: bytes


class _Copy(msgspec.Struct, array_like=True):
    version: int
    objects: list[_Object]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Copy)

# Returns the objects of a kind, None for a kind that is not mirrored.
ListingOf = Callable[[str], Listing | None]


class MirrorHandler:
    """Answers members that ask for this VM's copies."""

    def __init__(self, listing_of: ListingOf) -> None:
        """Keep what has the copies."""
        self._listing_of = listing_of

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        split = urlsplit(request.target)
        listing = self._listing_of(split.path.removeprefix(_ROOT))
        if listing is None:
            return HttpResponse(HTTPStatus.NOT_FOUND, b'')
        after = parse_qs(split.query).get('after', ['0'])[0]
        if not after.isdecimal():
            return HttpResponse(HTTPStatus.BAD_REQUEST, b'')
        objects = listing.objects if listing.version > int(after) else ()
        copied = _Copy(
            listing.version,
            [
                _Object(stored.name, stored.version, stored.text or b'')
                for stored in objects
            ],
        )
        return HttpResponse(
            HTTPStatus.OK,
            _encoder.encode(copied),
            content_type='application/msgpack',
        )


class MirrorReader:
    """Asks members for their copies."""

    async def fetch(
        self,
        address: Address,
        kind: str,
        after: int,
    ) -> Result[Listing, DaisydykeError]:
        """Read a member's copy of a kind.

        Returns:
            A listing without objects if its version is not above ``after``.
        """
        connection = HttpConnection(address)
        target = f'{_ROOT}{quote(kind, safe="")}?after={after}'
        try:
            async with curio.timeout_after(_FETCH_TIMEOUT_S):
                response = await connection.request(HttpRequest('GET', target))
            return Success(_to_listing(kind, response))
        except curio.TaskTimeout:
            return Failure(ConnectionLostError('no answer in time'))
        except DaisydykeError as error:
            return Failure(error)
        finally:
            await connection.close()


def _to_listing(kind: str, response: HttpResponse) -> Listing:
    if response.status != HTTPStatus.OK:
        raise ProtocolViolationError(f'status {response.status}')
    try:
        copied = _decoder.decode(response.body)
    except msgspec.MsgspecError as error:
        raise ProtocolViolationError(str(error)) from error
    return Listing(
        copied.version,
        tuple(
            StoredObject(kind, one.name, one.version, one.text)
            for one in copied.objects
        ),
    )
