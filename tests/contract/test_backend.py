"""Contract tests of the backend server connection, over fake sockets."""

from __future__ import annotations

import json
from collections.abc import Mapping
from types import MappingProxyType

import curio
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from testtools import TestCase
from testtools.matchers import Equals

from daisydyke._adapters import _http_client
from daisydyke._adapters._backend import HttpServerConnection
from daisydyke._domain._model import (
    Address,
    Failure,
    KeyRange,
    RequestContext,
    SubRequest,
)
from daisydyke._ports import SubResult
from tests.virtual_time import VirtualClock, run_virtual

_MATCHING_BODY: Mapping[str, object] = MappingProxyType(
    {
        'request_id': 'r',
        'instance': 'i',
        'snapshot': 1,
        'start': 0,
        'end': 10,
        'rows': [],
    }
)


class FakeSocket:
    """Socket that returns a fixed response and then the end of the stream."""

    def __init__(self, response: bytes) -> None:
        """Initialize with the bytes to return."""
        self._response = response
        self.sent = b''
        self.closed = False

    async def recv(self, maxsize: int) -> bytes:
        """Return the response once, then no bytes."""
        response = self._response
        self._response = b''
        return response

    async def sendall(self, payload: bytes) -> None:
        """Record the payload."""
        self.sent += payload

    async def close(self) -> None:
        """Record that the socket is closed."""
        self.closed = True


class SilentSocket(FakeSocket):
    """Socket that never returns a response."""

    async def recv(self, maxsize: int) -> bytes:
        """Wait for longer than any time-out."""
        await curio.sleep(10**6)
        return b''


def encode_response(status: int, body: dict[str, object]) -> bytes:
    """Return an HTTP response with a JSON body."""
    text = json.dumps(body).encode()
    head = f'HTTP/1.1 {status} X\r\ncontent-length: {len(text)}\r\n\r\n'
    return head.encode() + text


def run_sub_request(stream: FakeSocket) -> SubResult:
    """Run a sub-request on a connection that uses a fake socket."""

    async def scenario(clock: VirtualClock) -> SubResult:
        async def connect(
            host: str,
            port: int,
            *,
            detect_dead_peer: bool,
        ) -> FakeSocket:
            return stream

        original = _http_client.connect
        _http_client.connect = connect  # type: ignore[assignment]
        try:
            connection = HttpServerConnection(Address('127.0.0.1', 1))
            context = RequestContext('r', 's', 1, clock.now + 1, b'{}')
            request = SubRequest(1, 'x', KeyRange(0, 10), context)
            return await connection.run(request, 1)
        finally:
            _http_client.connect = original  # type: ignore[assignment]

    return run_virtual(scenario)


class TestHttpServerConnection(TestCase):
    """HttpServerConnection.run()"""

    def test_whole_matching_response(self) -> None:
        """A response that echoes the request is accepted."""
        outcome = run_sub_request(
            FakeSocket(encode_response(200, dict(_MATCHING_BODY)))
        )
        self.assertThat(isinstance(outcome, Success), Equals(True))

    def test_response_of_another_request(self) -> None:
        """A response to another request is rejected; the socket is closed."""
        for name, other_value in (
            ('request_id', 'other'),
            ('snapshot', 2),
            ('start', 10),
            ('end', 20),
        ):
            stream = FakeSocket(
                encode_response(200, {**_MATCHING_BODY, name: other_value})
            )
            outcome = run_sub_request(stream)
            self.assertThat(outcome.failure().reason, Equals(Failure.LOST))
            self.assertThat(stream.closed, Equals(True), name)

    def test_refusals(self) -> None:
        """Each refusal code is mapped to its failure, unknown ones to LOST."""
        table = (
            ('overloaded', Failure.SHED),
            ('cold', Failure.COLD),
            ('draining', Failure.DRAINING),
            ('version_gone', Failure.VERSION_GONE),
            ('range_not_served', Failure.VERSION_GONE),
            ('unknown_code', Failure.LOST),
        )
        for code, reason in table:
            outcome = run_sub_request(
                FakeSocket(encode_response(503, {'code': code}))
            )
            self.assertThat(outcome.failure().reason, Equals(reason), code)

    def test_timeout(self) -> None:
        """Without a response before the time-out, the socket is closed."""
        stream = SilentSocket(b'')
        outcome = run_sub_request(stream)
        self.assertThat(outcome.failure().reason, Equals(Failure.LATE))
        self.assertThat(outcome.failure().sent, Equals(True))
        self.assertThat(stream.closed, Equals(True))

    @given(st.integers(0, len(encode_response(200, dict(_MATCHING_BODY))) - 1))
    def test_truncated_response(self, length: int) -> None:
        """A response truncated at any length is a failure, not an answer."""
        stream = FakeSocket(encode_response(200, dict(_MATCHING_BODY))[:length])
        outcome = run_sub_request(stream)
        self.assertThat(outcome.failure().reason, Equals(Failure.LOST))
        self.assertThat(stream.closed, Equals(True))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes(self, payload: bytes) -> None:
        """Arbitrary bytes from a server result in a typed failure."""
        outcome = run_sub_request(FakeSocket(payload))
        self.assertThat(isinstance(outcome, Success), Equals(False))
