"""Conversion between messages of the HTTP server and those of h11."""

from __future__ import annotations

from http import HTTPStatus

import h11

from .._domain._held_body import HeldBody
from ._http_client import HttpRequest, HttpResponse

_BODY_LENGTH_FIELDS = frozenset((b'content-length', b'transfer-encoding'))


def check_framing(head: h11.Request) -> None:
    """Reject a request whose end other implementations may see elsewhere.

    That permits request smuggling: a request with both a content length and
    a transfer coding, or one that asks for a tunnel.

    Raises:
        RemoteProtocolError: the request is rejected.
    """
    if head.method == b'CONNECT':
        raise h11.RemoteProtocolError(
            'CONNECT is not supported',
            error_status_hint=HTTPStatus.NOT_IMPLEMENTED,
        )
    names = {name for name, _ in head.headers}
    if names.issuperset(_BODY_LENGTH_FIELDS):
        raise h11.RemoteProtocolError(
            'request with both content-length and transfer-encoding',
        )


def decode_request(
    head: h11.Request, body: bytes, round_trip: float, connecting: float
) -> HttpRequest:
    """Return a request whose body is complete.

    Parameters:
        round_trip: see HttpRequest.
        connecting: see HttpRequest.
    """
    headers = {
        name.decode('ascii'): text.decode('latin-1')
        for name, text in head.headers
    }
    return HttpRequest(
        head.method.decode('ascii'),
        head.target.decode('latin-1'),
        body,
        headers,
        tuple(head.headers),
        round_trip,
        connecting,
    )


def encode_response(
    http: h11.Connection,
    response: HttpResponse,
    *,
    last: bool,
    bodiless: bool = False,
) -> bytes:
    """Encode a response as the next message on a connection.

    A HeldBody is left out, to be sent after what is returned.

    h11 adds the header field that closes the connection if the client has
    asked for that.

    Parameters:
        http: protocol state of the connection, which is advanced.
        response: response to encode.
        last: whether the connection is closed after the response.
        bodiless: whether the body is left out, as in an answer to HEAD.
    """
    headers: list[tuple[str | bytes, str | bytes]] = [
        ('content-length', str(len(response.body))),
        *response.headers.items(),
        *response.fields,
    ]
    if response.content_type:
        headers.append(('content-type', response.content_type))
    if last:
        headers.append(('connection', 'close'))
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [http.send(head)]
    if response.body and not bodiless:
        parts.append(_encode_body(http, response.body))
    parts.append(http.send(h11.EndOfMessage()))
    return b''.join(part for part in parts if part)


def _encode_body(http: h11.Connection, body: bytes | bytearray) -> bytes:
    """Return the bytes of a body; none of a HeldBody."""
    parts = http.send_with_data_passthrough(h11.Data(data=body))
    return b'' if isinstance(body, HeldBody) else b''.join(parts or ())
