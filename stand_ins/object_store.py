"""Stand-in for the platform's store, in the process of a test.

Speaks the objects' protocol: kinds, conditional writes, pages, watches. Faults
are set from outside.
"""

from __future__ import annotations

from http import HTTPStatus
from urllib.parse import parse_qs, unquote, urlsplit

import curio
import msgspec

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpServer
from daisydyke._domain._model import Address

_PAGE = 3
_ROOT = '/-/objects/'
_POLL_S = 0.01


class ObjectStoreStandIn:
    """Objects by kind and name, and the faults of the store.

    Parameters:
        status: answered to every call instead of what was asked, if set.
        silent: calls are never answered.
        loses_writes: writes are done and their answers lost.
    """

    def __init__(self) -> None:
        """Start empty, with a revision above 0."""
        self.revision = 10
        self.forgotten = 0
        self.status: HTTPStatus | None = None
        self.silent = False
        self.loses_writes = False
        self.calls: list[str] = []
        self._objects: dict[str, dict[str, dict[str, object]]] = {}
        self._events: list[tuple[int, str, dict[str, object], bool]] = []
        self._server = HttpServer(self._handle)

    async def start(self, address: Address) -> None:
        """Begin to answer."""
        await self._server.start(address)

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object; returns its revision."""
        self.revision += 1
        meta = {'name': name, 'revision': self.revision}
        stored: dict[str, object] = {'meta': meta, 'spec': spec}
        self._objects.setdefault(kind, {})[name] = stored
        self._events.append((self.revision, kind, stored, False))
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        stored = self._objects[kind].pop(name)
        self._events.append((self.revision, kind, stored, True))

    def compact(self) -> None:
        """Forget all history."""
        self.forgotten = self.revision
        self._events.clear()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.calls.append(f'{request.method} {request.target}')
        if self.silent:
            await curio.Event().wait()
        if self.status is not None:
            return _answer(self.status, {'error': 'fault'})
        split = urlsplit(request.target)
        kind, _, name = split.path.removeprefix(_ROOT).partition('/')
        query = {name: one[0] for name, one in parse_qs(split.query).items()}
        if request.method == 'GET':
            return await self._read(kind, unquote(name), query)
        response = self._write(kind, unquote(name), request)
        if self.loses_writes:
            await curio.Event().wait()
        return response

    async def _read(
        self,
        kind: str,
        name: str,
        query: dict[str, str],
    ) -> HttpResponse:
        objects = self._objects.get(kind, {})
        if name:
            found = objects.get(name)
            if found is None:
                return _answer(HTTPStatus.NOT_FOUND, {'error': 'none'})
            return _answer(HTTPStatus.OK, found)
        watched = query.get('watch')
        if watched is not None:
            wait = int(query['wait_ms']) / 1000
            return await self._watch(kind, int(watched), wait)
        after = query.get('after', '')
        names = sorted(one for one in objects if one > after)
        page = names[:_PAGE]
        body = {
            'items': [objects[one] for one in page],
            'has_more': len(names) > len(page),
            'at_rev': self.revision,
        }
        return _answer(HTTPStatus.OK, body)

    async def _watch(
        self,
        kind: str,
        after: int,
        wait: float,
    ) -> HttpResponse:
        waited: float = 0
        while waited <= wait:
            if after < self.forgotten:
                return _answer(HTTPStatus.GONE, {'error': 'compacted'})
            events = [
                {'object': stored, 'deleted': deleted}
                for revision, of_kind, stored, deleted in self._events
                if of_kind == kind and revision > after
            ]
            if events:
                break
            await curio.sleep(_POLL_S)
            waited += _POLL_S
        return _answer(
            HTTPStatus.OK,
            {'events': events, 'at_rev': self.revision},
        )

    def _write(
        self,
        kind: str,
        name: str,
        request: HttpRequest,
    ) -> HttpResponse:
        body = msgspec.json.decode(request.body)
        name = name or body['meta']['name']
        known = self._objects.get(kind, {}).get(name)
        if request.method == 'POST':
            conflict = known is not None
        elif known is None:
            return _answer(HTTPStatus.NOT_FOUND, {'error': 'none'})
        else:
            current = msgspec.convert(known['meta'], dict)['revision']
            conflict = body['meta']['revision'] != current
        if conflict:
            return _answer(HTTPStatus.CONFLICT, known)
        self.put(kind, name, body['spec'])
        return _answer(HTTPStatus.OK, self._objects[kind][name])


def _answer(status: HTTPStatus, body: object) -> HttpResponse:
    return HttpResponse(status, msgspec.json.encode(body))
