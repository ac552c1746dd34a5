"""Requests that one client connection of the HTTP server receives."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus

import h11

from ._http_client import HttpRequest, HttpResponse
from ._http_messages import check_framing, decode_request, encode_response
from ._server_state import HttpLimits


class RequestRejectedError(Exception):
    """A request is malformed or too large, and must not be run."""

    def __init__(self, status: int) -> None:
        """Initialize with the status of the response."""
        super().__init__(status)
        self.status = status


class RequestStream:
    """Parses received bytes into requests, and encodes the responses.

    Both share the protocol state of the connection. It does no input or
    output, and holds at most one parsed request.
    """

    def __init__(self, limits: HttpLimits, round_trip_s: float) -> None:
        """Initialize for a connection that has received nothing.

        Parameters:
            limits: bounds on the bytes of a head and of a body.
            round_trip_s: seconds that the handshake took; the first request
                counts them as the time it took to connect, too.
        """
        self._maximum_body_bytes = limits.body_bytes
        self._round_trip_s = round_trip_s
        self._connecting_s = round_trip_s
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.head_bytes,
        )
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._asks_for_head = False
        self._incomplete = False
        self._request: HttpRequest | None = None

    @property
    def incomplete(self) -> bool:
        """Whether ``parse`` found a part of a request without the rest."""
        return self._incomplete

    @property
    def has_request(self) -> bool:
        """Whether ``take_request`` returns a request."""
        return self._request is not None

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes received and not parsed yet."""
        return len(self._http.trailing_data[0])

    @property
    def can_respond(self) -> bool:
        """Whether a response can still begin."""
        return self._http.our_state in {h11.IDLE, h11.SEND_RESPONSE}

    def receive(self, received: bytes) -> None:
        """Keep received bytes until they are parsed.

        Parameters:
            received: bytes that follow those received before; not empty.
        """
        self._http.receive_data(received)

    def parse(self) -> bool:
        """Parse up to the end of a request, or what has arrived of it.

        Returns:
            Whether the client can still send a request, or its rest.

        Raises:
            RequestRejectedError: the request is malformed or too large.
        """
        if self._head is None:
            # h11 does not tell the method of a request that it rejects.
            unparsed = self._http.trailing_data[0]
            self._asks_for_head = unparsed.startswith(b'HEAD ')
        try:
            event = self._parse_parts()
        except h11.RemoteProtocolError as error:
            raise RequestRejectedError(error.error_status_hint) from error
        if event is h11.NEED_DATA:
            has_unparsed = self.unparsed_bytes > 0
            self._incomplete = has_unparsed or self._head is not None
            return True
        if isinstance(event, h11.EndOfMessage):
            self._complete_request()
            return True
        return False

    def take_request(self) -> HttpRequest | None:
        """Return the parsed request, None if there is none; forget it."""
        request = self._request
        self._request = None
        return request

    def begin_next_cycle(self) -> bool:
        """Go on to the next request after a response.

        Returns:
            Whether the connection stays open for one.
        """
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if reusable:
            self._http.start_next_cycle()
        return reusable

    def encode_interim(self) -> bytes:
        """Encode the response that asks the client for the body.

        Returns:
            Bytes to send; empty if the client does not wait for it.
        """
        if not self._http.they_are_waiting_for_100_continue:
            return b''
        interim = h11.InformationalResponse(
            status_code=HTTPStatus.CONTINUE,
            headers=[],
        )
        return self._http.send(interim) or b''

    def encode(
        self, request: HttpRequest, response: HttpResponse, *, last: bool
    ) -> bytes:
        """Encode the response to a request that was taken.

        A HeldBody is left out, to be sent after what is returned.

        Parameters:
            last: whether the connection is closed after the response.

        Raises:
            LocalProtocolError: the response is malformed; another one can
                still be encoded.
        """
        return encode_response(
            self._http,
            response,
            last=last,
            bodiless=request.method == 'HEAD',
        )

    def encode_rejection(self, response: HttpResponse) -> bytes:
        """Encode the last response, to a request that was not taken.

        The body is left out if the request asks for the head alone.
        """
        if self._head is None and self._asks_for_head:
            response = replace(response, body=b'')
        return encode_response(
            self._http,
            response,
            last=True,
            bodiless=self._head is not None and self._head.method == b'HEAD',
        )

    def _parse_parts(self) -> object:
        """Keep head and body; return the event that follows them."""
        event = self._http.next_event()
        while isinstance(event, (h11.Request, h11.Data)):
            if isinstance(event, h11.Request):
                self._begin_request(event)
            else:
                self._append_to_body(event.data)
            event = self._http.next_event()
        return event

    def _begin_request(self, head: h11.Request) -> None:
        self._head = head
        check_framing(head)
        self._body.clear()

    def _append_to_body(self, chunk: bytes) -> None:
        self._body.extend(chunk)
        if len(self._body) > self._maximum_body_bytes:
            raise RequestRejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _complete_request(self) -> None:
        head = self._head
        if head is None:
            return
        self._head = None
        self._asks_for_head = False
        self._incomplete = False
        self._request = decode_request(
            head, bytes(self._body), self._round_trip_s, self._connecting_s
        )
        self._body = bytearray()
        self._connecting_s = 0
