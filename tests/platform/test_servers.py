"""Tests of the HTTP spoken to backend servers."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import ExpectedException, TestCase
from testtools.matchers import Contains, Equals, HasLength, Is, Not

from daisydyke._requests._model import CallerRequest
from daisydyke.exceptions import ProtocolViolationError
from daisydyke.platform._servers import HttpReplyStream, encode_request

OK = (
    b'HTTP/1.1 200 OK\r\nDaisydyke-Request-Id: r1\r\n'
    b'Daisydyke-Server-Stamp: s1\r\nContent-Length: 4\r\n\r\nbody'
)


def request(**changes: object) -> CallerRequest:
    """Return a GET with one header field of its own."""
    members: dict[str, object] = {
        'request_id': 'r1',
        'method': b'GET',
        'host': 'h.example',
        'path': '/a/b',
        'target': b'/a/b?c=1',
        'fields': ((b'accept', b'*/*'),),
        'body': b'',
        'received': 0.0,
        'timeout': 1.0,
    }
    return CallerRequest(**{**members, **changes})  # type: ignore[arg-type]


class TestEncodeRequest(TestCase):
    """encode_request()"""

    def test_identity(self) -> None:
        """Method, target, id and body are sent on unchanged."""
        encode = encode_request(request(method=b'POST', body=b'xyz'))
        encoded = encode('i-1', 0.25)
        head, _, body = encoded.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        self.assertThat(lines[0], Equals(b'POST /a/b?c=1 HTTP/1.1'))
        self.assertThat(lines, Contains(b'daisydyke-request-id: r1'))
        self.assertThat(lines, Contains(b'daisydyke-deadline-ms: 250'))
        self.assertThat(lines, Contains(b'daisydyke-target-instance: i-1'))
        self.assertThat(lines, Contains(b'accept: */*'))
        self.assertThat(lines, Contains(b'content-length: 3'))
        self.assertThat(body, Equals(b'xyz'))


class TestHttpReplyStream(TestCase):
    """HttpReplyStream"""

    def test_whole(self) -> None:
        """A response is returned once its last byte is there."""
        stream = HttpReplyStream()
        self.assertThat(stream.feed(OK[:-1]), HasLength(0))
        (reply,) = stream.feed(OK[-1:])
        self.assertThat(reply.body, Equals(b'body'))
        self.assertThat(reply.stamp, Equals('s1'))
        self.assertThat(reply.request_id, Equals('r1'))
        self.assertTrue(reply.success)

    @given(st.lists(st.integers(1, len(OK) - 1), max_size=6))
    def test_any_cut(self, cuts: list[int]) -> None:
        """However the bytes are cut, the replies are the same."""
        stream = HttpReplyStream()
        places = sorted({0, *cuts, len(OK)})
        found = []
        for index, start in enumerate(places[:-1]):
            found += stream.feed(OK[start : places[index + 1]])
        self.assertThat([one.body for one in found], Equals([b'body']))

    def test_second_response(self) -> None:
        """An extra response stays apart from the first."""
        replies = HttpReplyStream().feed(OK + OK)
        self.assertThat(replies, HasLength(2))

    def test_truncated(self) -> None:
        """A response that ends early is none."""
        stream = HttpReplyStream()
        stream.feed(OK[:-2])
        self.assertThat(stream.finish(), Is(None))

    def test_truncated_head(self) -> None:
        """A head that ends early is no response."""
        stream = HttpReplyStream()
        stream.feed(b'HTTP/1.1 200 OK\r\nDaisydyke-Server-Stamp: s1\r\n')
        self.assertThat(stream.finish(), Is(None))

    def test_without_length(self) -> None:
        """A response without a length ends with its connection."""
        stream = HttpReplyStream()
        head = b'HTTP/1.1 200 OK\r\nDaisydyke-Server-Stamp: s1\r\n\r\n'
        self.assertThat(stream.feed(head + b'all'), HasLength(0))
        reply = stream.finish()
        self.assertThat(reply.body, Equals(b'all'))
        self.assertThat(reply.keep_alive, Equals(0))

    def test_chunked(self) -> None:
        """A chunked body is joined."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
        )
        self.assertThat(reply.body, Equals(b'abc'))

    def test_noise(self) -> None:
        """Bytes that are no response are an error."""
        with ExpectedException(ProtocolViolationError):
            HttpReplyStream().feed(b'\x00\x01 not http\r\n\r\n')

    def test_noise_after_a_response(self) -> None:
        """A whole response counts whatever follows it."""
        replies = HttpReplyStream().feed(OK + b'\x00\x01garbage\r\n')
        self.assertThat(replies, HasLength(1))

    def test_unsigned_success_is_none(self) -> None:
        """A 2xx without a signature is not a success."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        )
        self.assertFalse(reply.success)

    def test_not_run(self) -> None:
        """A server says in a field that it has not run the request."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 503 X\r\nDaisydyke-Not-Executed: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        self.assertTrue(reply.not_run)

    def test_misdirected(self) -> None:
        """Another server at the address has not run it either."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 421 X\r\nDaisydyke-Instance-Id: i-2\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        self.assertTrue(reply.not_run)
        self.assertThat(reply.instance, Equals('i-2'))

    def test_connection_close(self) -> None:
        """A connection that the server closes is not used again."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        self.assertThat(reply.keep_alive, Equals(0))

    def test_keep_alive(self) -> None:
        """The idle time that the server states is kept."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7, max=9\r\n'
            b'Daisydyke-Warmup-Ms: 1500\r\nX-Own: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        self.assertThat(reply.keep_alive, Equals(7))
        self.assertThat(reply.cold_for, Equals(1.5))

    def test_head(self) -> None:
        """The reply to a HEAD request has no body whatever its length says."""
        stream = HttpReplyStream()
        stream.expect(bodiless=True)
        (reply,) = stream.feed(
            b'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n',
        )
        self.assertThat(reply.body, Equals(b''))
        self.assertThat(reply.keep_alive, Equals(0))

    def test_interim(self) -> None:
        """A 1xx response is not the answer."""
        replies = HttpReplyStream().feed(b'HTTP/1.1 100 Continue\r\n\r\n' + OK)
        self.assertThat([one.status for one in replies], Equals([200]))
        self.assertThat(replies[0].stamp, Not(Equals('')))
