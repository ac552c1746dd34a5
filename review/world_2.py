"""Stand-ins and helpers of the second review's scripts (standard library only).

The store, the servers and the clients follow PROTOCOL.md. Faults are switched
on by the case that uses them. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
GATEWAY = ('python3', '-m', 'daisydyke._cli._gateway_main')  # deploy/system.toml
PORTS = {'front': 8104, 'readiness': 8108, 'directory': 8100}
STORE_PORT = 8102
SERVER_PORT = 8080
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 1, 0, 2
BOUNDS = {
    'seed_lag_s': 3, 'addr_reuse_s': 2, 'contact_ms': 4000, 'ack_ms': 5000,
    'catch_up_s': 4, 'drain_ms': 3000, 'grace_s': 6, 'loss_slack_ms': 200,
    'config_apply_ms': 3000, 'downgrade_ms': 250, 'max_skew_ms': 12000,
    'retry_ratio': 0.2, 'retry_window_s': 10, 'retry_slack': 126,
    'warmup_excess': 1.5, 'warmup_slack': 5, 'evacuate_ms': 5000,
    'recovery_s': 12, 'ttl_max_s': 5,
}
LIMITS = {
    'max_header_bytes': 16384, 'max_body_bytes': 262144,
    'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
}


class CaseError(Exception):
    """The case could not run; its result says nothing."""


class Record:
    """What was sent, answered and run, in record.txt beside the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self.started = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f'{time.monotonic() - self.started:8.3f} {text}\n')
        self._file.flush()

    def result(self, text: str) -> None:
        self(text)
        print(text)


def free_network() -> str:
    """Return the first three numbers of loopback addresses not in use."""
    while True:
        network = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        try:
            import socket
            for port in (*PORTS.values(), STORE_PORT, SERVER_PORT, 9464, 7381):
                with socket.socket() as probe:
                    probe.bind((f'{network}.1', port))
        except OSError:
            continue
        return network


# ---------------------------------------------------------------- HTTP basics


class Message:
    """One HTTP message; header names are in lower case."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.first.split(' ', 2)[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a content length or in chunks; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    try:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first, headers, body)


def encode(first: str, headers: dict[str, object], body: bytes = b'') -> bytes:
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    import socket
    import struct
    stream = writer.get_extra_info('socket')
    stream.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


# ---------------------------------------------------------------- the store


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 10
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[float, int, str, dict, bool]] = []
        self.stale_s = 0.0
        self.down = False
        self.resets = False
        # Called with (kind, is_watch, answer); returns whether it gets lost.
        self.loses = lambda kind, is_watch, events: False
        self.answered = 0
        self.lost = 0
        self._changed = asyncio.Event()

    async def start(self, host: str) -> None:
        self.address = f'{host}:{STORE_PORT}'
        await asyncio.start_server(self._serve, host, STORE_PORT, backlog=512)

    def put(self, kind: str, name: str, spec: object) -> float:
        """Write an object; return the time of the acknowledgement."""
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        created = old['meta']['created_rev'] if old else self.revision
        stored = {
            'meta': {'name': name, 'revision': self.revision,
                     'created_rev': created, 'finalizers': [],
                     'deletion_pending': False},
            'spec': spec, 'status': None,
        }
        self.objects[kind][name] = stored
        self._note(kind, stored, False)
        return time.monotonic()

    def delete(self, kind: str, name: str) -> float:
        self.revision += 1
        self._note(kind, self.objects[kind].pop(name), True)
        return time.monotonic()

    def _note(self, kind: str, stored: dict, deleted: bool) -> None:
        self.events.append(
            (time.monotonic(), self.revision, kind, stored, deleted)
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if self.resets:
                    return reset(writer)
                method, target, _ = request.first.split(' ')
                url = urlsplit(target)
                kind, _, name = url.path.removeprefix('/-/objects/').partition('/')
                query = {key: texts[0] for key, texts in parse_qs(url.query).items()}
                status, answer = await self._answer(
                    method, kind, unquote(name), query, request.body, writer
                )
                if self.resets:
                    return reset(writer)
                is_watch = int(query.get('wait_ms', 0)) > 1
                if status == 200 and self.loses(kind, is_watch, answer.get('events')):
                    self.lost += 1
                    self.record(f'store: the answer to {method} {target} is lost')
                    # "A connection on which a response is lost returns
                    # nothing further."
                    await reader.read()
                    return
                self.answered += 1
                body = json.dumps(answer).encode()
                writer.write(encode(f'HTTP/1.1 {status} -', {'Content-Type': 'application/json'}, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, kind, name, query, body, writer):
        await asyncio.sleep(0.004)
        if self.down:
            return 503, {'error': 'unavailable'}
        if method != 'GET':
            return self._write(method, kind, name, json.loads(body))
        objects = self.objects.get(kind, {})
        if name:
            stored = objects.get(name)
            return (200, stored) if stored else (404, {'error': 'none'})
        stale = query.get('serializable') == '1'
        if 'watch' in query:
            return await self._watch(kind, int(query['watch']), int(query['wait_ms']) / 1000, stale)
        names = sorted(key for key in objects if key > query.get('after', ''))
        page = names[:500]
        revision = self._stale_revision() if stale else self.revision
        items = [objects[key] for key in page]
        return 200, {'items': items, 'has_more': len(names) > 500, 'at_rev': revision}

    def _stale_revision(self) -> int:
        """Return the store's revision some seconds ago."""
        until = time.monotonic() - self.stale_s
        later = [rev for at, rev, *_ in self.events if at > until]
        return later[0] - 1 if later else self.revision

    async def _watch(self, kind, after, wait_s, stale):
        ends_at = time.monotonic() + wait_s
        while True:
            limit = self._stale_revision() if stale else self.revision
            events = [
                {'object': stored, 'deleted': deleted}
                for _, rev, event_kind, stored, deleted in self.events
                if event_kind == kind and after < rev <= limit
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'at_rev': max(after, limit) if events or not stale else limit}
            if self.down or self.resets:
                return 503, {'error': 'unavailable'}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, name, body):
        if method == 'POST':
            name = body['meta']['name']
            if name in self.objects.get(kind, {}):
                return 409, self.objects[kind][name]
        else:
            stored = self.objects.get(kind, {}).get(name)
            if stored is None:
                return 404, {'error': 'none'}
            revision = body['meta'].get('revision')
            if revision and revision != stored['meta']['revision']:
                return 409, stored
        self.put(kind, name, body['spec'])
        return 200, self.objects[kind][name]


# ---------------------------------------------------------------- the servers


class Server:
    """A sound server of one service."""

    def __init__(self, record: Record, server_id: str, service: str, host: str,
                 zone: str, *, work_s=0.05, slots=2, answer=b'x' * 32) -> None:
        self.record = record
        self.id = server_id
        self.service = service
        self.host = host
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.answer = answer
        self.extra: dict[str, object] = {}
        self.runs: list[tuple[float, str]] = []
        self.ended = False
        self.running = 0
        self._writers: set = set()
        self._server = None
        self.born = int(time.time() * 1000)

    def entry(self, state: str = 'ready', left_ms: int = 0) -> dict:
        return {
            'service': self.service, 'address': f'{self.host}:{SERVER_PORT}',
            'zone': self.zone, 'version': 'v1', 'capacity': self.slots,
            'state': state, 'warmup_left_ms': left_ms, 'sequence': 1,
            'born': self.born,
        }

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, SERVER_PORT, backlog=512
        )

    def end(self) -> None:
        """End the process of the server."""
        self.ended = True
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()
        self.record(f'server {self.id} has ended')

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._handle(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message) -> bytes:
        request_id = request.headers.get('daisydyke-request-id', '')
        echo = {'Daisydyke-Request-Id': request_id, **self.extra}
        if request.headers.get('daisydyke-target-instance', self.id) != self.id:
            echo['Daisydyke-Instance-Id'] = self.id
            return encode('HTTP/1.1 421 Misdirected Request', echo)
        if self.running >= self.slots * 6:
            return encode('HTTP/1.1 503 Service Unavailable', {**echo, 'Daisydyke-Not-Executed': 1})
        self.runs.append((time.monotonic(), request_id))
        self.record(f'server {self.id} runs {request_id}')
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        echo['Daisydyke-Server-Stamp'] = f'{self.id}.{request_id}'
        return encode('HTTP/1.1 200 OK', echo, self.answer)


# ---------------------------------------------------------------- the clients


class Connection:
    """A connection of a client that it keeps for many requests."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.reader = self.writer = None

    async def open(self, timeout_s=1.0) -> None:
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, PORTS['front']), timeout_s
        )

    async def ask(self, method, path, request_id, body=b'', deadline_ms=5000,
                  headers=None) -> Message | None:
        fields = {
            'Host': 'shop.example', 'Daisydyke-Request-Id': request_id,
            'Daisydyke-Deadline-Ms': deadline_ms, **(headers or {}),
        }
        self.writer.write(encode(f'{method} {path} HTTP/1.1', fields, body))
        try:
            await self.writer.drain()
            return await asyncio.wait_for(
                read_message(self.reader), deadline_ms / 1000 + 2
            )
        except (ConnectionError, asyncio.TimeoutError):
            return None

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


async def ask_once(host, method, path, request_id, **options) -> Message | None:
    connection = Connection(host)
    try:
        await connection.open()
        return await connection.ask(method, path, request_id, **options)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        connection.close()


# ---------------------------------------------------------------- the gateways


class Gateway:
    """One process of the system, started with the deploy file's command."""

    def __init__(self, folder: Path, store: Store, name: str, host: str,
                 zone: str, limits=None, bounds=None) -> None:
        self.name = name
        self.host = host
        self.log_path = folder / f'{name}.log'
        self.path = folder / f'{name}.json'
        self.process = None
        self.settings = {
            'node_name': name, 'role': 'gateway', 'machine_class': 'frontend',
            'serves': ['frontend', 'directory'], 'ip': host, 'zone': zone,
            'region': 'huon',
            'listen_addrs': {key: f'{host}:{port}' for key, port in PORTS.items()},
            'internal_ports': [7380, 7395], 'seed_nodes': [],
            'bootstrap': False, 'fault_counted': False,
            'limits': {'cpu_share': 0.731, 'cpu_cores': 1, 'memory_mb': 222,
                       'max_fds': 1535, 'link_mbps': 350.0, 'disk_mb': 0,
                       **(limits or {})},
            'data_dir': None, 'discovery': 'platform', 'entry_type': 'directory',
            'heartbeat_ms': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover',
                          'scatter', 'places', 'platform'],
            'bounds': {**BOUNDS, **(bounds or {})},
            'platform': {'address': store.address, 'form': 'objects',
                         'writes_per_s': 400, 'reads_per_s': 2000,
                         'history_s': 20, 'max_value_bytes': 1048576,
                         'min_ttl_ms': 1000},
        }

    async def start(self) -> None:
        self.path.write_text(json.dumps(self.settings))
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['DAISYDYKE_NODE_FILE'] = str(self.path)
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *GATEWAY, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s=20.0) -> None:
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f'{self.name} is not ready')

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, PORTS['readiness'])
        except OSError:
            return False
        writer.write(b'GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
        answer = await read_message(reader)
        writer.close()
        return answer is not None and answer.status == 200

    @property
    def lives(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def memory_mb(self, field='VmRSS') -> float:
        try:
            status = Path('/proc', str(self.process.pid), 'status').read_text()
            return int(status.partition(f'{field}:')[2].split()[0]) / 1024
        except (OSError, IndexError):
            return 0.0

    async def kill(self) -> None:
        if self.lives:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def route(name, service, *, kind='non_idempotent', timeout_ms=5000, **more) -> dict:
    return {
        'name': name, 'host': 'shop.example', 'path_prefix': f'/{name}/',
        'route_type': kind, 'timeout_ms': timeout_ms, 'target_latency_ms': 600,
        'priority': 1, 'service': service, 'max_attempts': 2,
        'auth_exempt': False, **more,
    }


def configuration(version, routes, services, connections=248, limits=None) -> dict:
    return {
        'version': version, 'routes': routes,
        'services': [
            {'name': name, 'health_path': '/health',
             'max_connections': connections, 'protocol': 'h1', 'tls': False,
             'warmup_s': 3.0, 'warmup_per_s': 0.0}
            for name in services
        ],
        'limits': limits or LIMITS,
    }


def main(folder: Path, play) -> None:
    """Run a case; exit with 1 if the rule broke, 0 if it held, else 2."""
    record = Record(folder)
    record(f'TROUBLE={int(TROUBLE)}')

    async def run() -> int:
        gateways: list[Gateway] = []
        with tempfile.TemporaryDirectory() as scratch:
            try:
                return await asyncio.wait_for(
                    play(record, Path(scratch), gateways), 110
                )
            finally:
                for gateway in gateways:
                    await gateway.kill()
                if os.environ.get('KEEP_LOGS'):
                    import shutil
                    for gateway in gateways:
                        shutil.copy(gateway.log_path, os.environ['KEEP_LOGS'])

    try:
        code = asyncio.run(run())
    except (CaseError, OSError, asyncio.TimeoutError) as error:
        record.result(f'could not run: {type(error).__name__}: {error}')
        code = NOT_RUN
    record(f'exit {code}')
    sys.stdout.flush()
    os._exit(code)
