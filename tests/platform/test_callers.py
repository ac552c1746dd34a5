"""Tests of the HTTP spoken with callers."""

import json

from testtools import TestCase
from testtools.matchers import Contains, Equals, Not

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._requests._model import (
    CallerAnswer,
    CallerRequest,
    Forwarded,
    Merged,
    NotRouted,
    Refused,
    Reply,
    Unanswered,
)
from daisydyke.platform._callers import CallerHandler, DirectoryHandler
from tests.virtual_time import VirtualClock, run_virtual


class OneAnswer:
    """Gives one answer and keeps what was asked."""

    def __init__(self, answer: CallerAnswer) -> None:
        """Keep the answer."""
        self.answer = answer
        self.asked: CallerRequest | None = None

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer any request."""
        self.asked = request
        return self.answer


def ask(answer: CallerAnswer, request: HttpRequest) -> tuple:
    """Return the response to a request, and what the service was asked."""
    service = OneAnswer(answer)

    async def _run(clock: VirtualClock) -> HttpResponse:
        return await CallerHandler(service, clock).handle(request)

    return run_virtual(_run), service.asked


def request(*fields: tuple[bytes, bytes]) -> HttpRequest:
    """Return a GET with the usual and further fields."""
    all_fields = (
        (b'host', b'h.example:80'),
        (b'daisydyke-request-id', b'r1'),
        (b'daisydyke-deadline-ms', b'600'),
        *fields,
    )
    headers = {name.decode(): text.decode() for name, text in all_fields}
    return HttpRequest('GET', '/a/b?x=/c', b'', headers, all_fields)


class TestCallerHandler(TestCase):
    """CallerHandler"""

    def test_request(self) -> None:
        """Path, host and deadline are decoded, the target is kept."""
        _, asked = ask(NotRouted(), request())
        self.assertThat(asked.path, Equals('/a/b'))
        self.assertThat(asked.target, Equals(b'/a/b?x=/c'))
        self.assertThat(asked.host, Equals('h.example'))
        self.assertThat(asked.timeout, Equals(0.6))

    def test_forwarded_fields(self) -> None:
        """Fields of one connection and those it names are left out."""
        _, asked = ask(
            NotRouted(),
            request(
                (b'connection', b'close, x-hop'),
                (b'x-hop', b'1'),
                (b'x-own', b'2'),
                (b'x-own', b'3'),
                (b'transfer-encoding', b'chunked'),
            ),
        )
        self.assertThat(
            asked.fields,
            Equals(((b'x-own', b'2'), (b'x-own', b'3'))),
        )

    def test_forged_target_is_dropped(self) -> None:
        """A caller cannot name the server."""
        forged = request((b'daisydyke-target-instance', b'i-9'))
        _, asked = ask(NotRouted(), forged)
        self.assertThat(asked.fields, Equals(()))

    def test_without_id(self) -> None:
        """A request without an id is refused before anything runs."""
        response, asked = ask(NotRouted(), HttpRequest('GET', '/'))
        self.assertThat(response.status, Equals(400))
        self.assertThat(asked, Equals(None))

    def test_reply_unchanged(self) -> None:
        """A server's reply is returned with its own fields only."""
        fields = ((b'daisydyke-server-stamp', b's'), (b'x-own', b'1'))
        of_hop = ((b'connection', b'close'), (b'daisydyke-warmup-ms', b'9'))
        reply = Reply(207, fields + of_hop, b'b', 's', 'r1', False, '', 0, 1)
        response, _ = ask(Forwarded(reply), request())
        self.assertThat(response.status, Equals(207))
        self.assertThat(response.body, Equals(b'b'))
        self.assertThat(response.fields, Equals(fields))
        self.assertThat(response.content_type, Equals(None))

    def test_merged(self) -> None:
        """Stamps and the number of missing parts are stated."""
        answer = Merged(('s1', 's2'), 3, b'r' * 16)
        response, _ = ask(answer, request())
        fields = dict(response.fields)
        self.assertThat(
            fields[b'daisydyke-part-stamps'],
            Equals(b's1, s2'),
        )
        self.assertThat(fields[b'daisydyke-missing-parts'], Equals(b'3'))

    def test_refused(self) -> None:
        """A refusal says when to come back."""
        response, _ = ask(Refused('full', 0.25), request())
        self.assertThat(response.status, Equals(503))
        self.assertThat(
            dict(response.fields)[b'retry-after'],
            Equals(b'0.250'),
        )

    def test_unanswered_promises_nothing(self) -> None:
        """What may have run is never answered with a refusal."""
        for timed_out in (False, True):
            response, _ = ask(
                Unanswered('lost', timed_out=timed_out), request()
            )
            promises = [408, 421, 429, 503]
            self.assertThat(promises, Not(Contains(response.status)))


class TestDirectoryHandler(TestCase):
    """DirectoryHandler"""

    def test_addresses(self) -> None:
        """The caller's failure domain reaches the directory."""
        seen = []

        def _book(domain: str) -> tuple[list[str], float]:
            seen.append(domain)
            return ['10.0.0.1:80'], 1.5

        async def _run(clock: VirtualClock) -> HttpResponse:
            target = '/-/resolve?name=h&region=r&zone=north'
            return await DirectoryHandler(_book).handle(
                HttpRequest('GET', target),
            )

        body = json.loads(run_virtual(_run).body)
        self.assertThat(seen, Equals(['north']))
        self.assertThat(body, Equals({'addrs': ['10.0.0.1:80'], 'ttl_s': 1.5}))
