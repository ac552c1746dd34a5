"""Copies of stored objects between two VMs over loopback."""

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
KNOWN = Listing(9, (STORED,))


def listing_of(kind: str) -> Listing | None:
    """Return the copy of the one kind there is."""
    return KNOWN if kind == 'config' else None


async def garble(request: HttpRequest) -> HttpResponse:
    """Answer what is no copy."""
    return HttpResponse(200, b'no copy')


async def _fetch(handle, kind: str, after: int):
    server = HttpServer(handle)
    await server.start(ADDRESS)
    copied = await MirrorReader().fetch(ADDRESS, kind, after)
    await server.drain()
    return copied


def fetch(kind: str, after: int, handle=MirrorHandler(listing_of).handle):
    """Ask a VM for its copy."""
    return curio.run(_fetch, handle, kind, after)


class TestMirrorExchange(TestCase):
    """MirrorHandler and PeerMirrors"""

    def test_newer(self) -> None:
        """A member that is ahead sends all objects of the kind."""
        self.assertThat(fetch('config', 8), Equals(Success(KNOWN)))

    def test_not_newer(self) -> None:
        """A member that is not ahead sends nothing."""
        self.assertThat(fetch('config', 9), Equals(Success(Listing(9, ()))))

    def test_unknown_kind(self) -> None:
        """A kind that is not mirrored is an error with a type."""
        failed = fetch('other', 0).failure()
        self.assertThat(failed, IsInstance(ProtocolViolationError))

    def test_garbled(self) -> None:
        """Bytes that are no copy are an error with a type."""
        failed = fetch('config', 0, garble).failure()
        self.assertThat(failed, IsInstance(ProtocolViolationError))

    def test_nobody_there(self) -> None:
        """A member that is gone is an error with a type."""
        copied = curio.run(MirrorReader().fetch, ADDRESS, 'config', 0)
        self.assertThat(isinstance(copied, Success), Is(False))
        self.assertThat(copied.failure(), IsInstance(ConnectionLostError))
