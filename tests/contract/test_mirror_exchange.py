"""Contract tests of the exchange of object copies, over loopback."""

import curio
from returns.result import Success
from testtools import TestCase
from testtools.matchers import Equals, Is, IsInstance

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpServer
from daisydyke._adapters._mirror_exchange import MirrorHandler, MirrorReader
from daisydyke._domain._model import Address
from daisydyke._ports import Listing, StoredObject
from daisydyke.exceptions import ConnectionLostError, ProtocolViolationError

ADDRESS = Address('127.0.0.1', 19760)
STORED = StoredObject('config', 'main', 7, b'{"version":1}')
LISTING = Listing(9, (STORED,))


def get_listing(kind: str) -> Listing | None:
    """Return the copy of the only mirrored kind."""
    return LISTING if kind == 'config' else None


async def send_malformed_copy(request: HttpRequest) -> HttpResponse:
    """Return a response body that is not a copy."""
    return HttpResponse(200, b'no copy')


async def _fetch_from_server(handle, kind: str, after: int):
    server = HttpServer(handle)
    await server.start(ADDRESS)
    outcome = await MirrorReader().fetch(ADDRESS, kind, after)
    await server.drain()
    return outcome


def fetch(kind: str, after: int, handle=MirrorHandler(get_listing).handle):
    """Read the copy of a kind from a server."""
    return curio.run(_fetch_from_server, handle, kind, after)


class TestMirrorExchange(TestCase):
    """MirrorHandler and MirrorReader"""

    def test_newer(self) -> None:
        """A member with a newer version sends all objects of the kind."""
        self.assertThat(fetch('config', 8), Equals(Success(LISTING)))

    def test_not_newer(self) -> None:
        """A member without a newer version sends no objects."""
        self.assertThat(fetch('config', 9), Equals(Success(Listing(9, ()))))

    def test_unknown_kind(self) -> None:
        """A kind that is not mirrored results in a typed error."""
        failed = fetch('other', 0).failure()
        self.assertThat(failed, IsInstance(ProtocolViolationError))

    def test_malformed_copy(self) -> None:
        """A malformed copy results in a typed error."""
        failed = fetch('config', 0, send_malformed_copy).failure()
        self.assertThat(failed, IsInstance(ProtocolViolationError))

    def test_unreachable_member(self) -> None:
        """An unreachable member results in a typed error."""
        outcome = curio.run(MirrorReader().fetch, ADDRESS, 'config', 0)
        self.assertThat(isinstance(outcome, Success), Is(False))
        self.assertThat(outcome.failure(), IsInstance(ConnectionLostError))
