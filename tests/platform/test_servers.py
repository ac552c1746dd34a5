"""Tests of HTTP requests to and responses from backend servers."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import ExpectedException, TestCase
from testtools.matchers import (
    Contains,
    ContainsDict,
    Equals,
    HasLength,
    Is,
    Not,
)

from daisydyke._requests._model import CallerRequest
from daisydyke.exceptions import ProtocolViolationError
from daisydyke.platform._servers import HttpReplyStream, encode_request

OK = (
    b'HTTP/1.1 200 OK\r\nDaisydyke-Request-Id: r1\r\n'
    b'Daisydyke-Server-Stamp: s1\r\nContent-Length: 4\r\n\r\nbody'
)


def request(**changes: object) -> CallerRequest:
    """Return a GET request with one header field and the given changes."""
    values: dict[str, object] = {
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
    return CallerRequest(**{**values, **changes})  # type: ignore[arg-type]


class TestEncodeRequest(TestCase):
    """encode_request()"""

    def test_identity(self) -> None:
        """Method, target, request id, fields and body are sent unchanged."""
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

    def test_complete_response(self) -> None:
        """A response is returned once its last byte has been received."""
        stream = HttpReplyStream()
        self.assertThat(stream.feed(OK[:-1]), HasLength(0))
        (reply,) = stream.feed(OK[-1:])
        self.assertThat(reply.body, Equals(b'body'))
        self.assertThat(reply.stamp, Equals('s1'))
        self.assertThat(reply.request_id, Equals('r1'))
        self.assertTrue(reply.success)

    @given(st.lists(st.integers(1, len(OK) - 1), max_size=6))
    def test_any_cut(self, split_offsets: list[int]) -> None:
        """The replies do not depend on how the bytes are split."""
        stream = HttpReplyStream()
        offsets = sorted({0, *split_offsets, len(OK)})
        replies = []
        for index, start in enumerate(offsets[:-1]):
            replies += stream.feed(OK[start : offsets[index + 1]])
        self.assertThat([reply.body for reply in replies], Equals([b'body']))

    def test_second_response(self) -> None:
        """Two responses in one read are returned separately."""
        replies = HttpReplyStream().feed(OK + OK)
        self.assertThat(replies, HasLength(2))

    def test_truncated(self) -> None:
        """A response with an incomplete body gives no reply."""
        stream = HttpReplyStream()
        stream.feed(OK[:-2])
        self.assertThat(stream.finish(), Is(None))

    def test_incomplete_header(self) -> None:
        """A response with an incomplete header section gives no reply."""
        stream = HttpReplyStream()
        stream.feed(b'HTTP/1.1 200 OK\r\nDaisydyke-Server-Stamp: s1\r\n')
        self.assertThat(stream.finish(), Is(None))

    def test_without_length(self) -> None:
        """A body without a length extends to the end of the connection."""
        stream = HttpReplyStream()
        head = b'HTTP/1.1 200 OK\r\nDaisydyke-Server-Stamp: s1\r\n\r\n'
        self.assertThat(stream.feed(head + b'all'), HasLength(0))
        reply = stream.finish()
        self.assertThat(reply.body, Equals(b'all'))
        self.assertThat(reply.keep_alive, Equals(0))

    def test_chunked(self) -> None:
        """The chunks of a body are joined."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
        )
        self.assertThat(reply.body, Equals(b'abc'))

    def test_invalid_bytes(self) -> None:
        """Bytes that are not an HTTP response raise an error."""
        with ExpectedException(ProtocolViolationError):
            HttpReplyStream().feed(b'\x00\x01 not http\r\n\r\n')

    def test_invalid_bytes_after_response(self) -> None:
        """A complete response is returned despite invalid bytes after it."""
        replies = HttpReplyStream().feed(OK + b'\x00\x01garbage\r\n')
        self.assertThat(replies, HasLength(1))

    def test_unsigned_2xx(self) -> None:
        """A 2xx without a signature is not a success."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        )
        self.assertFalse(reply.success)

    def test_not_run(self) -> None:
        """The Not-Executed field marks a request that has not run."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 503 X\r\nDaisydyke-Not-Executed: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        self.assertTrue(reply.not_run)

    def test_misdirected(self) -> None:
        """Status 421 from another instance means that nothing has run."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 421 X\r\nDaisydyke-Instance-Id: i-2\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        self.assertTrue(reply.not_run)
        self.assertThat(reply.instance, Equals('i-2'))

    def test_connection_close(self) -> None:
        """A connection that the server closes must not be reused."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        self.assertThat(reply.keep_alive, Equals(0))

    def test_keep_alive(self) -> None:
        """The stated idle time and warm-up time are decoded."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7, max=9\r\n'
            b'Daisydyke-Warmup-Ms: 1500\r\nX-Own: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        self.assertThat(reply.keep_alive, Equals(7))
        self.assertThat(reply.cold_for, Equals(1.5))

    def test_reply_to_head(self) -> None:
        """The reply to HEAD has no body, whatever its Content-Length says."""
        stream = HttpReplyStream()
        stream.expect(bodiless=True)
        (reply,) = stream.feed(
            b'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n',
        )
        self.assertThat(reply.body, Equals(b''))
        self.assertThat(reply.keep_alive, Equals(0))

    def test_interim_response_to_head(self) -> None:
        """An interim response is not taken for the reply to HEAD (issue 30)."""
        for interim in (b'100 Continue', b'103 Early Hints'):
            stream = HttpReplyStream()
            stream.expect(bodiless=True)
            self.assertThat(
                stream.feed(b'HTTP/1.1 %b\r\n\r\n' % interim), HasLength(0)
            )
            (reply,) = stream.feed(OK.partition(b'body')[0])
            self.assertThat(reply.status, Equals(200))

    def test_undefined_status(self) -> None:
        """A status below 100 is no valid reply (issue 30)."""
        for head in (b'HTTP/1.1 050 X\r\n\r\n', OK.replace(b'200', b'000')):
            stream = HttpReplyStream()
            with ExpectedException(ProtocolViolationError):
                stream.feed(head)

    def test_interim_response(self) -> None:
        """An interim (1xx) response is dropped."""
        replies = HttpReplyStream().feed(b'HTTP/1.1 100 Continue\r\n\r\n' + OK)
        self.assertThat([reply.status for reply in replies], Equals([200]))
        self.assertThat(replies[0].stamp, Not(Equals('')))

    def test_whitespace_around_field(self) -> None:
        """Whitespace after a field's text is not part of it.

        Sent on to the caller, it would make the answer invalid.
        """
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nDaisydyke-Server-Stamp: s1 \t\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        self.assertThat(reply.stamp, Equals('s1'))
        self.assertThat(
            dict(reply.fields),
            ContainsDict(
                {
                    b'daisydyke-server-stamp': Equals(b's1'),
                }
            ),
        )

    def test_trailer(self) -> None:
        """A trailer does not replace a field of the header."""
        (reply,) = HttpReplyStream().feed(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
            b'Daisydyke-Request-Id: r1\r\n\r\n0\r\n'
            b'Daisydyke-Request-Id: r2\r\n\r\n',
        )
        self.assertThat(reply.request_id, Equals('r1'))

    def test_two_stamps(self) -> None:
        """A signature with a comma would count as two parts of an answer."""
        (reply,) = HttpReplyStream().feed(OK.replace(b'p: s1', b'p: s1, s2'))
        self.assertFalse(reply.success)

    def test_switch_of_protocol(self) -> None:
        """A server cannot switch to another protocol."""
        with ExpectedException(ProtocolViolationError):
            HttpReplyStream().feed(
                b'HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
            )
