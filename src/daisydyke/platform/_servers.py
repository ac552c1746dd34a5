"""HTTP as it is spoken to backend servers."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from http import HTTPStatus

import httptools

from .._requests._model import CallerRequest, RequestEncoder, Reply
from ..exceptions import ProtocolViolationError
from . import _headers

_MS = 1000
_DEFAULT_KEEP_ALIVE_S = 60.0
_MAXIMUM_BODY_BYTES = 1 << 24
_BODILESS_STATUSES = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)


def encode_request(request: CallerRequest) -> RequestEncoder:
    """Prepare a request for any number of servers.

    Returns:
        A function of the server's identifier and of the seconds until the
        answer is of no use.
    """
    return partial(_encode_for, b''.join(_common_pieces(request)), request.body)


def _encode_for(
    common: bytes,
    body: bytes,
    server_id: str,
    left: float,
) -> bytes:
    return b'%b%b: %d\r\n%b: %b\r\n\r\n%b' % (
        common,
        _headers.DEADLINE_MS,
        int(left * _MS),
        _headers.TARGET_INSTANCE,
        server_id.encode('latin-1'),
        body,
    )


def _common_pieces(request: CallerRequest) -> Iterator[bytes]:
    yield b'%b %b HTTP/1.1\r\nhost: %b\r\n%b: %b\r\n' % (
        request.method,
        request.target,
        request.host.encode('latin-1'),
        _headers.REQUEST_ID,
        request.request_id.encode('latin-1'),
    )
    for field in request.fields:
        yield b'%b: %b\r\n' % field
    if request.body or request.method not in {b'GET', b'HEAD'}:
        yield b'content-length: %d\r\n' % len(request.body)


class HttpReplyStream:
    """Splits the bytes of one connection into whole responses."""

    def __init__(self) -> None:
        """Start at the beginning of a connection."""
        self._parser = httptools.HttpResponseParser(self)
        self._done: list[Reply] = []
        self._bodiless = False
        self._in_message = False
        self._in_body = False
        self._fields: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0

    def expect(self, *, bodiless: bool) -> None:
        """Prepare for the reply to the next request."""
        self._bodiless = bodiless

    def feed(self, received: bytes) -> list[Reply]:
        """Return the replies that these bytes complete.

        Raises:
            ProtocolViolationError: the bytes are no response.
        """
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            if not self._done:
                raise ProtocolViolationError(str(error)) from error
        done = self._done
        self._done = []
        return done

    def finish(self) -> Reply | None:
        """Return the reply that the end of the stream completes."""
        if not self._in_body or self._is_framed():
            return None
        self._in_body = False
        return self._to_reply(closing=True)

    def on_message_begin(self) -> None:
        """Start a response; called by the parser."""
        self._in_message = True
        self._fields = []
        self._body = []
        self._size = 0

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header field; called by the parser."""
        self._fields.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Note that the body follows; called by the parser."""
        self._in_body = True
        if self._bodiless:
            self._in_body = False
            self._done.append(self._to_reply(closing=True))

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body; called by the parser."""
        self._size += len(body)
        if self._size > _MAXIMUM_BODY_BYTES:
            raise ProtocolViolationError('response body too large')
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End a response; called by the parser."""
        if not self._in_body:
            return
        self._in_body = False
        if self._parser.get_status_code() < HTTPStatus.OK:
            return
        closing = not self._parser.should_keep_alive()
        self._done.append(self._to_reply(closing=closing))

    def _is_framed(self) -> bool:
        names = {name for name, _ in self._fields}
        return bool(names & {b'content-length', b'transfer-encoding'})

    def _to_reply(self, *, closing: bool) -> Reply:
        status = self._parser.get_status_code()
        found = dict(self._fields)
        not_run = _headers.NOT_EXECUTED in found
        return Reply(
            status,
            tuple(self._fields),
            b''.join(self._body),
            _text(found, _headers.SERVER_STAMP),
            _text(found, _headers.REQUEST_ID),
            not_run or status == HTTPStatus.MISDIRECTED_REQUEST,
            _text(found, _headers.INSTANCE_ID),
            _cold_seconds(found),
            0 if closing else _keep_alive(found),
        )


def _text(found: dict[bytes, bytes], name: bytes) -> str:
    return found.get(name, b'').decode('latin-1')


def _number(text: str) -> float:
    try:
        return max(0, float(text))
    except ValueError:
        return 0


def _cold_seconds(found: dict[bytes, bytes]) -> float:
    if _headers.WARMUP_MS not in found:
        return 0
    return _number(_text(found, _headers.WARMUP_MS)) / _MS


def _keep_alive(found: dict[bytes, bytes]) -> float:
    if b'keep-alive' not in found:
        return _DEFAULT_KEEP_ALIVE_S
    for item in _text(found, b'keep-alive').split(','):
        name, _, seconds = item.partition('=')
        if name.strip().lower() == 'timeout':
            return _number(seconds) or _DEFAULT_KEEP_ALIVE_S
    return _DEFAULT_KEEP_ALIVE_S
