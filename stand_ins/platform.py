"""Stand-in for the platform's object API with settable faults.

``PUT /control`` with ``{"mode": ...}`` sets the mode:

- ``up``: no fault;
- ``down``: the connection is closed without a response;
- ``slow``: no fault but the delay of each call by ``delay_ms``;
- ``lose``: a write takes effect, but the connection is closed without a
  response;
- ``stale``: lists and watches omit objects that changed after the mode was
  set.
"""

from __future__ import annotations

from http import HTTPStatus
from urllib.parse import parse_qs, unquote, urlsplit

import click
import curio
import msgspec

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpServer
from daisydyke._adapters._server_state import NoAnswerError
from daisydyke._settings._documents import parse_address

_MAX_RUNTIME_S = 3600.0


class StoredBody(msgspec.Struct):
    """An object in a response; ``value`` is None if it was deleted."""

    kind: str
    name: str
    version: int
    value: msgspec.Raw | None = None


class ListBody(msgspec.Struct):
    """Objects and the store version at which they were read."""

    version: int
    objects: list[StoredBody]


class VersionBody(msgspec.Struct):
    """The current version of an object."""

    version: int


class VmBody(msgspec.Struct):
    """An entry of the VM list."""

    name: str
    address: str
    leaving: bool = False


class VmListBody(msgspec.Struct):
    """The VM list."""

    vms: list[VmBody]


class ControlBody(msgspec.Struct):
    """The fault mode.

    Parameters:
        mode: one of the modes that the module's docstring lists.
        delay_ms: delay of each API call in every mode but ``down``.
    """

    mode: str
    delay_ms: int = 0


class CallsBody(msgspec.Struct):
    """Number of calls by type since the process started."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class VersionedObjects:
    """In-memory objects with one version counter for all changes."""

    def __init__(self) -> None:
        """Initialize without objects, at version 0."""
        self._objects: dict[tuple[str, str], StoredBody] = {}
        self._changed = curio.Event()
        self.version = 0

    def get(self, kind: str, name: str) -> StoredBody | None:
        """Return an object, or None if it is missing or deleted."""
        stored = self._objects.get((kind, name))
        return stored if stored and stored.value is not None else None

    def changed_since(self, kinds: set[str], version: int) -> list[StoredBody]:
        """Return objects of the given kinds changed after a version.

        Deleted objects are included, without a value.
        """
        return [
            stored
            for stored in self._objects.values()
            if stored.kind in kinds and stored.version > version
        ]

    async def put(
        self,
        kind: str,
        name: str,
        expected: int,
        text: bytes | None,
    ) -> tuple[bool, int]:
        """Write or delete an object if it has the expected version.

        Parameters:
            expected: expected version; 0 if the object must not exist.
            text: new value in JSON; None deletes the object.

        Returns:
            True and the new version, or False and the current version.
        """
        current = self._objects.get((kind, name))
        existing = current if current and current.value is not None else None
        current_version = existing.version if existing else 0
        if current_version != expected:
            return False, current_version
        self.version += 1
        raw = None if text is None else msgspec.Raw(text)
        self._objects[kind, name] = StoredBody(kind, name, self.version, raw)
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()
        return True, self.version

    async def wait(self, timeout: float) -> None:
        """Wait for a change of any object, at most ``timeout`` seconds."""
        await curio.ignore_after(timeout, self._changed.wait())


class PlatformStandIn:
    """Request handler of the object API."""

    def __init__(self) -> None:
        """Initialize without objects, VMs or faults."""
        self._store = VersionedObjects()
        self._fault = ControlBody('up')
        self._stale_version = 0
        self._vms: list[VmBody] = []
        self._calls = CallsBody()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of the object API or of a test."""
        path = urlsplit(request.target).path
        if path == '/control':
            return self._control(request)
        if path == '/calls':
            return _ok(self._calls)
        if path == '/vms' and request.method == 'PUT':
            body = msgspec.json.decode(request.body, type=VmListBody)
            self._vms = body.vms
            return _ok(body)
        return await self._handle_api(request, path)

    async def _handle_api(
        self,
        request: HttpRequest,
        path: str,
    ) -> HttpResponse:
        if self._fault.mode == 'down':
            raise NoAnswerError('platform is down')
        await curio.sleep(self._fault.delay_ms / 1000)
        if path == '/v1/vms':
            self._calls.reads += 1
            return _ok(VmListBody(self._vms))
        if path == '/v1/watch':
            self._calls.watches += 1
            return await self._watch(request)
        if path == '/v1/objects':
            self._calls.reads += 1
            return self._list(_query_of(request), 0)
        return await self._object(request, path)

    def _control(self, request: HttpRequest) -> HttpResponse:
        self._fault = msgspec.json.decode(request.body, type=ControlBody)
        self._stale_version = self._store.version
        return _ok(self._fault)

    async def _object(self, request: HttpRequest, path: str) -> HttpResponse:
        kind, name = path.removeprefix('/v1/objects/').split('/', 1)
        name = unquote(name)
        if request.method == 'GET':
            self._calls.reads += 1
            stored = self._store.get(kind, name)
            if stored is None:
                return HttpResponse(HTTPStatus.NOT_FOUND, b'{}')
            return _ok(stored)
        self._calls.writes += 1
        expected = int(request.headers.get('if-match', '0'))
        text = request.body if request.method == 'PUT' else None
        written, version = await self._store.put(kind, name, expected, text)
        if self._fault.mode == 'lose':
            raise NoAnswerError('write took effect; response dropped')
        status = HTTPStatus.OK if written else HTTPStatus.CONFLICT
        body = msgspec.json.encode(VersionBody(version))
        return HttpResponse(status, body)

    def _list(self, query: dict[str, str], after: int) -> HttpResponse:
        kinds = set(query['kinds'].split(','))
        objects = self._store.changed_since(kinds, after)
        version = self._store.version
        if self._fault.mode == 'stale':
            version = self._stale_version
            objects = [
                stored for stored in objects if stored.version <= version
            ]
        return _ok(ListBody(version, objects))

    async def _watch(self, request: HttpRequest) -> HttpResponse:
        query = _query_of(request)
        after = int(query['after'])
        remaining = int(query['wait_ms']) / 1000
        started = await curio.clock()
        kinds = set(query['kinds'].split(','))
        while remaining > 0 and not self._store.changed_since(kinds, after):
            await self._store.wait(remaining)
            elapsed = await curio.clock() - started
            remaining = int(query['wait_ms']) / 1000 - elapsed
        if self._fault.mode == 'down':
            raise NoAnswerError('platform is down')
        return self._list(query, after)


def _query_of(request: HttpRequest) -> dict[str, str]:
    parsed = parse_qs(urlsplit(request.target).query)
    return {name: texts[0] for name, texts in parsed.items()}


def _ok(body: msgspec.Struct) -> HttpResponse:
    return HttpResponse(HTTPStatus.OK, msgspec.json.encode(body))


async def run_platform(address: str) -> None:
    """Serve the object API for at most an hour."""
    server = HttpServer(PlatformStandIn().handle)
    await server.start(parse_address(address))
    await curio.sleep(_MAX_RUNTIME_S)


@click.command()
@click.argument('address')
def main(address: str) -> None:
    """Serve the object API on ADDRESS for at most an hour."""
    curio.run(run_platform, address)


if __name__ == '__main__':
    main()
