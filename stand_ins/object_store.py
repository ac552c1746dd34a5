"""In-process stand-in for the platform's object store.

Implements the object protocol (kinds, conditional writes, pagination, watches).
Tests set faults as attributes.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs, unquote, urlsplit

import curio
import msgspec

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpServer
from daisydyke._domain._model import Address

_PAGE_ITEMS = 3
_ROOT = '/-/objects/'
_POLL_S = 0.01


# Called with the kind, the name and the status of an object.
StatusListener = Callable[[str, str, object], object]


class ObjectStoreStandIn:
    """HTTP server of objects by kind and name, with settable faults.

    Parameters:
        revision: revision of the latest change.
        status: if set, the status of the response to every call.
        silent: calls are never answered.
        silent_kinds: kinds whose calls are never answered.
        loses_writes: writes take effect but are never answered.
        calls: method and target of each call, in order.
    """

    def __init__(self) -> None:
        """Initialize without objects or faults."""
        self.revision = 10
        self.status: HTTPStatus | None = None
        self.silent = False
        self.silent_kinds: frozenset[str] = frozenset()
        self.loses_writes = False
        self.calls: list[str] = []
        self._status_listener: StatusListener | None = None
        # Watches from an earlier revision get 410 Gone.
        self._compacted_revision = 0
        self._objects: dict[str, dict[str, dict[str, object]]] = {}
        self._events: list[tuple[int, str, dict[str, object], bool]] = []
        self._server = HttpServer(self._handle)

    async def start(self, address: Address) -> None:
        """Start serving on an address."""
        await self._server.start(address)

    async def stop(self) -> None:
        """Stop serving new connections."""
        await self._server.stop_listening()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object.

        Returns:
            The new revision of the object.
        """
        self.revision += 1
        meta = {'name': name, 'revision': self.revision}
        stored: dict[str, object] = {'meta': meta, 'spec': spec}
        self._objects.setdefault(kind, {})[name] = stored
        self._events.append((self.revision, kind, stored, False))
        return self.revision

    def status_of(self, kind: str, name: str) -> object:
        """Return the status of an object, None if it has none."""
        return self._objects[kind][name].get('status')

    def watch_statuses(self, listener: StatusListener) -> None:
        """Call a listener with each status that is written."""
        self._status_listener = listener

    def delete(self, kind: str, name: str) -> None:
        """Delete an object.

        Raises:
            KeyError: there is no such object.
        """
        self.revision += 1
        stored = self._objects[kind].pop(name)
        self._events.append((self.revision, kind, stored, True))

    def compact(self) -> None:
        """Discard the history of changes, as the store's compaction does."""
        self._compacted_revision = self.revision
        self._events.clear()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.calls.append(f'{request.method} {request.target}')
        url = urlsplit(request.target)
        kind, _, name = url.path.removeprefix(_ROOT).partition('/')
        if self.silent or kind in self.silent_kinds:
            await curio.Event().wait()
        if self.status is not None:
            return _answer(self.status, {'error': 'fault'})
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
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
            stored = objects.get(name)
            if stored is None:
                return _answer(HTTPStatus.NOT_FOUND, {'error': 'none'})
            return _answer(HTTPStatus.OK, stored)
        watched_revision = query.get('watch')
        if watched_revision is not None:
            timeout_s = int(query['wait_ms']) / 1000
            return await self._watch(kind, int(watched_revision), timeout_s)
        after = query.get('after', '')
        names = sorted(key for key in objects if key > after)
        page = names[:_PAGE_ITEMS]
        body = {
            'items': [objects[key] for key in page],
            'has_more': len(names) > len(page),
            'at_rev': self.revision,
        }
        return _answer(HTTPStatus.OK, body)

    async def _watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
    ) -> HttpResponse:
        waited_s: float = 0
        while waited_s <= timeout_s:
            if after < self._compacted_revision:
                return _answer(HTTPStatus.GONE, {'error': 'compacted'})
            events = [
                {'object': stored, 'deleted': deleted}
                for revision, event_kind, stored, deleted in self._events
                if event_kind == kind and revision > after
            ]
            if events:
                break
            await curio.sleep(_POLL_S)
            waited_s += _POLL_S
        return _answer(
            HTTPStatus.OK,
            {'events': events, 'at_rev': self.revision},
        )

    def _put_status(self, kind: str, name: str, status: object) -> None:
        spec = self._objects[kind][name]['spec']
        self.put(kind, name, spec)
        self._objects[kind][name]['status'] = status
        if self._status_listener is not None:
            self._status_listener(kind, name, status)

    def _write(
        self,
        kind: str,
        name: str,
        request: HttpRequest,
    ) -> HttpResponse:
        body = msgspec.json.decode(request.body)
        name, _, part = name.partition('/')
        name = name or body['meta']['name']
        stored = self._objects.get(kind, {}).get(name)
        if request.method == 'POST':
            conflict = stored is not None
        elif stored is None:
            return _answer(HTTPStatus.NOT_FOUND, {'error': 'none'})
        else:
            current = msgspec.convert(stored['meta'], dict)['revision']
            conflict = body['meta']['revision'] != current
        if conflict:
            return _answer(HTTPStatus.CONFLICT, stored)
        if part:
            self._put_status(kind, name, body['status'])
        else:
            self.put(kind, name, body['spec'])
        return _answer(HTTPStatus.OK, self._objects[kind][name])


def _answer(status: HTTPStatus, body: object) -> HttpResponse:
    return HttpResponse(status, msgspec.json.encode(body))
