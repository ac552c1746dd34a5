"""Exchange of copies of stored objects between entry VMs over HTTP.

The response to ``GET /mirrors/KIND?after=VERSION`` is a MessagePack array of
the version of the copy and the objects of the kind. The array of objects is
empty if the version of the copy does not exceed the one in the request.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs, quote, urlsplit

import curio
import msgspec
from returns.result import Failure, Result, Success

from .._decoding import DECODING_ERRORS
from .._domain._model import Address
from .._ports import Listing, StoredObject
from ..exceptions import (
    ConnectionLostError,
    DaisydykeError,
    ProtocolViolationError,
)
from ._http_client import HttpConnection, HttpRequest, HttpResponse

_PATH_PREFIX = '/mirrors/'
_FETCH_TIMEOUT_S = 1.0


class _ObjectBody(msgspec.Struct, array_like=True):
    name: str
    version: int
    text: bytes


class _CopyBody(msgspec.Struct, array_like=True):
    version: int
    objects: list[_ObjectBody]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_CopyBody)

# Returns the copy of a kind; None if the kind is not mirrored.
ListingLookup = Callable[[str], Listing | None]


class MirrorHandler:
    """Serves this VM's copies to other members.

    Parameters:
        get_listing: returns the copy of a kind; None if it is not mirrored.
    """

    def __init__(self, get_listing: ListingLookup) -> None:
        """Initialize with the function that returns the copies."""
        self._get_listing = get_listing

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the copy of the kind in the path of the request."""
        split = urlsplit(request.target)
        listing = self._get_listing(split.path.removeprefix(_PATH_PREFIX))
        if listing is None:
            return HttpResponse(HTTPStatus.NOT_FOUND, b'')
        after = parse_qs(split.query).get('after', ['0'])[0]
        if not after.isdecimal():
            return HttpResponse(HTTPStatus.BAD_REQUEST, b'')
        objects = listing.objects if listing.version > int(after) else ()
        copy = _CopyBody(
            listing.version,
            [
                _ObjectBody(stored.name, stored.version, stored.text or b'')
                for stored in objects
            ],
        )
        return HttpResponse(
            HTTPStatus.OK,
            _encoder.encode(copy),
            content_type='application/msgpack',
        )


class MirrorReader:
    """Reads the copies of other members."""

    async def fetch(
        self,
        address: Address,
        kind: str,
        after: int,
    ) -> Result[Listing, DaisydykeError]:
        """Read a member's copy of a kind.

        Parameters:
            address: address of the member.
            kind: kind of the objects.
            after: platform version of this VM's copy.

        Returns:
            The copy, without objects if its version does not exceed
            ``after``.
        """
        connection = HttpConnection(address)
        target = f'{_PATH_PREFIX}{quote(kind, safe="")}?after={after}'
        try:
            async with curio.timeout_after(_FETCH_TIMEOUT_S):
                response = await connection.request(HttpRequest('GET', target))
            return Success(_to_listing(kind, response))
        except curio.TaskTimeout:
            return Failure(
                ConnectionLostError('no response before the time-out'),
            )
        except DaisydykeError as error:
            return Failure(error)
        finally:
            await connection.close()


def _to_listing(kind: str, response: HttpResponse) -> Listing:
    if response.status != HTTPStatus.OK:
        raise ProtocolViolationError(f'status {response.status}')
    try:
        copy = _decoder.decode(response.body)
    except DECODING_ERRORS as error:
        raise ProtocolViolationError(str(error)) from error
    return Listing(
        copy.version,
        tuple(
            StoredObject(kind, stored.name, stored.version, stored.text)
            for stored in copy.objects
        ),
    )
