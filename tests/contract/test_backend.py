"""Contract of the connection to a backend server, over a fake socket."""

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

_ECHO: Mapping[str, object] = MappingProxyType(
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
    """Answers whatever is sent with fixed bytes, then closes."""

    def __init__(self, answer: bytes) -> None:
        """Keep the answer."""
        self._answer = answer
        self.sent = b''
        self.closed = False

    async def recv(self, maxsize: int) -> bytes:
        """Return the answer, then the end."""
        answer = self._answer
        self._answer = b''
        return answer

    async def sendall(self, payload: bytes) -> None:
        """Keep what is sent."""
        self.sent += payload

    async def close(self) -> None:
        """Note that it is closed."""
        self.closed = True


class SilentSocket(FakeSocket):
    """Never answers."""

    async def recv(self, maxsize: int) -> bytes:
        """Wait for ever."""
        await curio.sleep(10**6)
        return b''


def response(status: int, body: dict[str, object]) -> bytes:
    """Return the bytes of a response."""
    text = json.dumps(body).encode()
    head = f'HTTP/1.1 {status} X\r\ncontent-length: {len(text)}\r\n\r\n'
    return head.encode() + text


def run_over(stream: FakeSocket) -> SubResult:
    """Run a sub-request on a connection whose socket is a fake."""

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
        """A response that echoes the request is its answer."""
        outcome = run_over(FakeSocket(response(200, dict(_ECHO))))
        self.assertThat(isinstance(outcome, Success), Equals(True))

    def test_response_of_another_request(self) -> None:
        """A response that echoes anything else is dropped and closed."""
        for name, other in (
            ('request_id', 'other'),
            ('snapshot', 2),
            ('start', 10),
            ('end', 20),
        ):
            stream = FakeSocket(response(200, {**_ECHO, name: other}))
            outcome = run_over(stream)
            self.assertThat(outcome.failure().reason, Equals(Failure.LOST))
            self.assertThat(stream.closed, Equals(True), name)

    def test_refusals(self) -> None:
        """Each refusal of a server is told apart."""
        table = (
            ('overloaded', Failure.SHED),
            ('cold', Failure.COLD),
            ('draining', Failure.DRAINING),
            ('version_gone', Failure.VERSION_GONE),
            ('range_not_served', Failure.VERSION_GONE),
            ('what is this', Failure.LOST),
        )
        for code, reason in table:
            outcome = run_over(FakeSocket(response(503, {'code': code})))
            self.assertThat(outcome.failure().reason, Equals(reason), code)

    def test_silence(self) -> None:
        """Without a response by the timeout the connection is closed."""
        stream = SilentSocket(b'')
        outcome = run_over(stream)
        self.assertThat(outcome.failure().reason, Equals(Failure.LATE))
        self.assertThat(outcome.failure().sent, Equals(True))
        self.assertThat(stream.closed, Equals(True))

    @given(st.integers(0, len(response(200, dict(_ECHO))) - 1))
    def test_cut_response(self, length: int) -> None:
        """However early a response ends, it is lost, never an answer."""
        stream = FakeSocket(response(200, dict(_ECHO))[:length])
        outcome = run_over(stream)
        self.assertThat(outcome.failure().reason, Equals(Failure.LOST))
        self.assertThat(stream.closed, Equals(True))

    @given(st.binary(max_size=200))
    def test_garbage(self, garbage: bytes) -> None:
        """Whatever a server sends, it ends in a typed failure."""
        outcome = run_over(FakeSocket(garbage))
        self.assertThat(isinstance(outcome, Success), Equals(False))
