"""HTTP/1.1 encoding of requests to backend servers, and response parser."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from http import HTTPStatus

import httptools

from .._domain._held_body import HeldBody
from .._requests._model import CallerRequest, RequestEncoder, Reply
from ..exceptions import ProtocolViolationError
from . import _headers

_MS_PER_S = 1000
_OPTIONAL_WHITESPACE = b' \t'
_DEFAULT_KEEP_ALIVE_S = 60.0
_MAXIMUM_BODY_BYTES = 1 << 24
# Shorter bodies are copied, so that they take no more than their size.
_LONG_BODY_BYTES = 65536
_MAXIMUM_FIELD_COUNT = 256
# Status lines, header fields, interim responses, chunk sizes and trailers.
_MAXIMUM_OVERHEAD_BYTES = 65536
# Allows for bodies in small chunks.
_OVERHEAD_PER_BODY_BYTE = 8
# Attributes of HTTPStatus are slow to read and compare.
_LOWEST_STATUS = int(HTTPStatus.CONTINUE)
_LOWEST_FINAL_STATUS = int(HTTPStatus.OK)
_MISDIRECTED_STATUS = int(HTTPStatus.MISDIRECTED_REQUEST)


def encode_request(request: CallerRequest) -> RequestEncoder:
    """Encode the parts of a request that are the same for all servers.

    Returns:
        A function that encodes the request for one server, given the server's
        identifier and the seconds that remain until the deadline.
    """
    return partial(
        _encode_for_server, b''.join(_common_head_lines(request)), request.body
    )


def _encode_for_server(
    common_head: bytes,
    body: bytes,
    server_id: str,
    remaining_s: float,
) -> bytes:
    return b'%b%b: %d\r\n%b: %b\r\n\r\n%b' % (
        common_head,
        _headers.DEADLINE_MS,
        int(remaining_s * _MS_PER_S),
        _headers.TARGET_INSTANCE,
        server_id.encode('latin-1'),
        body,
    )


def _common_head_lines(request: CallerRequest) -> Iterator[bytes]:
    yield b'%b %b HTTP/1.1\r\nhost: %b\r\n%b: %b\r\n' % (
        request.method,
        request.target,
        request.host.encode('latin-1'),
        _headers.REQUEST_ID,
        request.request_id.encode('latin-1'),
    )
    if request.customer:
        yield b'%b: %b\r\n' % (
            _headers.CUSTOMER_NAME,
            request.customer.encode('latin-1'),
        )
    for field in request.fields:
        yield b'%b: %b\r\n' % field
    if request.body or request.method not in {b'GET', b'HEAD'}:
        yield b'content-length: %d\r\n' % len(request.body)


class HttpReplyStream:
    """Incremental parser of the responses on one connection.

    It holds no more of a body than was received of it, and nothing once the
    reply is complete. The parser refers back to this object, so ``close`` is
    needed to free both without the garbage collector.
    """

    def __init__(self) -> None:
        """Initialize for a new connection."""
        self._parser = httptools.HttpResponseParser(self)
        self._closed = False
        self._completed: list[Reply] = []
        self._bodiless = False
        self._maximum_body = _MAXIMUM_BODY_BYTES
        self._received_bytes = 0
        self._in_message = False
        self._failed = False
        self._in_body = False
        self._fields: list[tuple[bytes, bytes]] = []
        self._body = HeldBody()

    @property
    def has_excess(self) -> bool:
        """Whether bytes after the latest complete reply were received."""
        return self._failed or self._in_message

    def expect(
        self, *, bodiless: bool, maximum_body: int = _MAXIMUM_BODY_BYTES
    ) -> None:
        """Prepare for the reply to the next request.

        Parameters:
            bodiless: whether the reply has no body whatever its header says.
            maximum_body: largest body in bytes.
        """
        self._bodiless = bodiless
        self._maximum_body = maximum_body

    def feed(self, received: bytes) -> list[Reply]:
        """Return the replies that these bytes complete.

        Raises:
            ProtocolViolationError: the bytes are not a valid response or
                exceed a limit, and complete no reply.
        """
        if self._closed:
            raise ProtocolViolationError('bytes after the end')
        self._received_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._failed = True
            if not self._completed:
                raise ProtocolViolationError(str(error)) from error
        completed = self._completed
        self._completed = []
        if not completed:
            self._check_overhead()
        return completed

    def finish(self) -> Reply | None:
        """Return the reply that the end of the stream completes, if any.

        That is a reply without content-length and transfer-encoding, whose
        body extends to the end of the connection.
        """
        if not self._in_body or self._is_framed():
            return None
        self._in_body = False
        return self._to_reply(closes=True)

    def close(self) -> None:
        """Free what is held of an incomplete reply; nothing more is read."""
        self._closed = True
        self._in_body = False
        self._parser = None
        self._drop_message()

    def on_message_begin(self) -> None:
        """Begin a response; called by the parser."""
        self._in_message = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header field; called by the parser."""
        if self._in_body:
            # A trailer; it must not replace a field of the header.
            return
        if len(self._fields) == _MAXIMUM_FIELD_COUNT:
            raise ProtocolViolationError('too many header fields')
        self._fields.append((name.lower(), text.strip(_OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Begin the body or complete a bodiless reply; called by the parser.

        The connection is not reused after a bodiless reply.
        """
        status = self._parser.get_status_code()
        if status < _LOWEST_STATUS:
            raise ProtocolViolationError(f'status {status} is not defined')
        self._in_body = True
        if self._bodiless and status >= _LOWEST_FINAL_STATUS:
            self._in_body = False
            self._complete(closes=True)

    def on_body(self, body: bytes) -> None:
        """Add a chunk of the body; called by the parser."""
        if len(self._body) + len(body) > self._maximum_body:
            raise ProtocolViolationError(
                f'response body exceeds {self._maximum_body} bytes',
            )
        self._body += body

    def on_message_complete(self) -> None:
        """Complete a response; called by the parser.

        Interim responses (1xx) are dropped.
        """
        self._in_message = False
        if not self._in_body:
            return
        self._in_body = False
        if self._parser.get_status_code() < _LOWEST_FINAL_STATUS:
            self._drop_message()
            return
        self._complete(closes=not self._parser.should_keep_alive())

    def _complete(self, *, closes: bool) -> None:
        self._completed.append(self._to_reply(closes=closes))
        self._received_bytes = 0
        self._drop_message()

    def _drop_message(self) -> None:
        self._fields = []
        self._body = HeldBody()

    def _check_overhead(self) -> None:
        body_bytes = len(self._body)
        allowed = _MAXIMUM_OVERHEAD_BYTES + body_bytes * _OVERHEAD_PER_BODY_BYTE
        if self._received_bytes - body_bytes > allowed:
            raise ProtocolViolationError('response without an end')

    def _is_framed(self) -> bool:
        names = {name for name, _ in self._fields}
        return bool(names & {b'content-length', b'transfer-encoding'})

    def _to_reply(self, *, closes: bool) -> Reply:
        status = self._parser.get_status_code()
        headers = dict(self._fields)
        not_run = _headers.NOT_EXECUTED in headers
        return Reply(
            status,
            tuple(self._fields),
            self._take_body(),
            _stamp(headers),
            _header_text(headers, _headers.REQUEST_ID),
            not_run or status == _MISDIRECTED_STATUS,
            _header_text(headers, _headers.INSTANCE_ID),
            _warmup_s(headers),
            0 if closes else _keep_alive_s(headers),
        )

    def _take_body(self) -> bytes | HeldBody:
        body = self._body
        return body if len(body) > _LONG_BODY_BYTES else bytes(body)


def _header_text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b'').decode('latin-1')


def _stamp(headers: dict[bytes, bytes]) -> str:
    stamp = _header_text(headers, _headers.SERVER_STAMP)
    # A merged answer separates its stamps by commas.
    return '' if ',' in stamp else stamp


def _parse_non_negative(text: str) -> float:
    try:
        return max(0, float(text))
    except ValueError:
        return 0


def _warmup_s(headers: dict[bytes, bytes]) -> float:
    if _headers.WARMUP_MS not in headers:
        return 0
    return (
        _parse_non_negative(_header_text(headers, _headers.WARMUP_MS))
        / _MS_PER_S
    )


def _keep_alive_s(headers: dict[bytes, bytes]) -> float:
    if b'keep-alive' not in headers:
        return _DEFAULT_KEEP_ALIVE_S
    for item in _header_text(headers, b'keep-alive').split(','):
        name, _, seconds = item.partition('=')
        if name.strip().lower() == 'timeout':
            return _parse_non_negative(seconds) or _DEFAULT_KEEP_ALIVE_S
    return _DEFAULT_KEEP_ALIVE_S
