"""Stand-ins for the scripts of this review: store, servers, clients, platform.

Only the standard library is used. Everything listens on one loopback address
that is drawn for the run, on ports that the kernel chooses.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST_NAME = 'hladac.example'
ZONE = 'ba-sala1'
REGION = 'zapadne-sk'

# Bounds of the site file that claim.txt names, as its settings state them.
BOUNDS = {
    'seed_lag_s': 3, 'addr_reuse_s': 2, 'contact_ms': 4000, 'ack_ms': 5000,
    'catch_up_s': 4, 'drain_ms': 3000, 'grace_s': 6, 'loss_slack_ms': 200,
    'config_apply_ms': 3000, 'downgrade_ms': 250, 'max_skew_ms': 12000,
    'retry_ratio': 0.2, 'retry_window_s': 10, 'retry_slack': 113,
    'warmup_excess': 1.5, 'warmup_slack': 5, 'evacuate_ms': 5000,
    'recovery_s': 12, 'ttl_max_s': 5,
}
LIMITS = {
    'max_header_bytes': 16384, 'max_body_bytes': 262144,
    'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
}


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Lines of record.txt, with the seconds since the start of the run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def __call__(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


def free_address() -> str:
    """Return a loopback address on which the metrics port is free."""
    for _ in range(50):
        ip = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}'
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError:
                continue
        return ip
    raise CannotRunError('no free loopback address')


def free_ports(ip: str, count: int) -> list[int]:
    held = [socket.socket() for _ in range(count)]
    try:
        for item in held:
            item.bind((ip, 0))
        return [item.getsockname()[1] for item in held]
    finally:
        for item in held:
            item.close()


def free_port_range(ip: str) -> tuple[int, int]:
    """Return a range of internal ports whose first two are free."""
    for _ in range(100):
        first = random.randint(20000, 30000)
        tcp, udp, peer = (
            socket.socket(),
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
            socket.socket(),
        )
        try:
            tcp.bind((ip, first))
            udp.bind((ip, first))
            peer.bind((ip, first + 1))
        except OSError:
            continue
        finally:
            for item in (tcp, udp, peer):
                item.close()
        return first, first + 15
    raise CannotRunError('no free internal ports')


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the header fields; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return first, fields


class Store:
    """The platform's store: objects with one revision counter, and watches."""

    def __init__(self, ip: str, record: Record) -> None:
        self.ip = ip
        self.record = record
        self.port = 0
        self.revision = 100
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()
        # Set by a script: takes (method, target, response) and returns
        # whether the response is lost.
        self.loses = lambda method, target, body: False

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = server.sockets[0].getsockname()[1]
        self._server = server

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator or a server does."""
        self.revision += 1
        key = (kind, name)
        created = self.objects.get(key, {}).get('meta', {}).get('created_rev', self.revision)
        stored = {
            'meta': {'name': name, 'revision': self.revision, 'created_rev': created,
                     'finalizers': [], 'deletion_pending': False},
            'spec': spec, 'status': None,
        }
        self.objects[key] = stored
        self.history.append((self.revision, kind, stored, False))
        self.record(f'store: {kind}/{name} acknowledged at revision {self.revision}')
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    async def delete(self, kind: str, name: str) -> None:
        self.revision += 1
        stored = dict(self.objects.pop((kind, name)))
        stored['meta'] = {**stored['meta'], 'revision': self.revision}
        self.history.append((self.revision, kind, stored, True))
        self.record(f'store: {kind}/{name} removed at revision {self.revision}')
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, fields = head
                method, target, _ = first.split(' ')
                body = await reader.readexactly(int(fields.get('content-length', 0)))
                status, answer = await self._answer(method, target, body, reader)
                payload = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                if self.loses(method, target, payload):
                    self.record(f'store: answer to {method} {target} lost')
                    # The connection returns nothing further.
                    await reader.read()
                    return
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(payload)}\r\n\r\n'.encode() + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, method, target, body, reader):
        split = urlsplit(target)
        query = parse_qs(split.query, keep_blank_values=True)
        parts = [unquote(part) for part in split.path.split('/')[3:]]
        kind = parts[0]
        if method == 'GET' and len(parts) > 1:
            stored = self.objects.get((kind, parts[1]))
            return (200, self.encode(stored)) if stored else (404, {})
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, int(query['watch'][0]), int(query.get('wait_ms', ['0'])[0]))
        if method == 'GET':
            after = query.get('after', [''])[0]
            names = sorted(name for k, name in self.objects if k == kind and name > after)
            return 200, self.page([self.objects[kind, name] for name in names[:500]], len(names) > 500)
        sent = json.loads(body)
        name = parts[1] if len(parts) > 1 else sent['meta']['name']
        stored = self.objects.get((kind, name))
        expected = sent.get('meta', {}).get('revision')
        if method == 'POST':
            if stored:
                return 409, self.encode(stored)
        elif stored is None:
            return 404, {}
        elif expected and stored['meta']['revision'] != expected:
            return 409, self.encode(stored)
        await self.put(kind, name, sent['spec'])
        return 200, self.encode(self.objects[kind, name])

    async def _watch(self, kind, after, wait_ms):
        def events():
            return [(stored, deleted) for revision, k, stored, deleted in self.history
                    if k == kind and revision > after]
        deadline = time.monotonic() + wait_ms / 1000
        while not events() and (left := deadline - time.monotonic()) > 0:
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        return 200, self.event_page(events())

    def encode(self, stored: dict) -> bytes:
        return json.dumps(stored).encode()

    def page(self, items: list[dict], has_more: bool) -> bytes:
        inner = b','.join(self.encode(item) for item in items)
        return b'{"items":[%b],"has_more":%b,"at_rev":%d}' % (
            inner, b'true' if has_more else b'false', self.revision)

    def event_page(self, events) -> bytes:
        inner = b','.join(
            b'{"deleted":%b,"object":%b}' % (b'true' if deleted else b'false', self.encode(stored))
            for stored, deleted in events)
        return b'{"events":[%b],"at_rev":%d}' % (inner, self.revision)


def server_entry(service: str, address: str, **changes: object) -> dict:
    return {
        'service': service, 'address': address, 'zone': ZONE, 'version': 'v1',
        'capacity': 2, 'state': 'ready', 'warmup_left_ms': 0, 'sequence': 1,
        'born': int(time.time() * 1000) - 60000, **changes,
    }


class Gateway:
    """One process of the deploy file's role, with its settings file."""

    def __init__(self, name: str, store: Store, record: Record, folder: Path,
                 ip: str | None = None, like: Gateway | None = None) -> None:
        self.ip = ip or free_address()
        self.record = record
        self.name = name
        # Ports are the same on all machines of a day.
        ports = like.ports if like else free_ports(self.ip, 4)
        internal = like.internal_ports if like else list(free_port_range(self.ip))
        self.ports, self.internal_ports = ports, internal
        self.front, self.readiness, control, directory = ports
        self.directory = directory
        settings = {
            'node_name': name, 'role': 'gateway', 'machine_class': 'frontend',
            'serves': ['frontend', 'directory'], 'ip': self.ip, 'zone': ZONE,
            'region': REGION, 'zones': {ZONE: REGION},
            'listen_addrs': {
                'front': f'{self.ip}:{self.front}',
                'readiness': f'{self.ip}:{self.readiness}',
                'control': f'{self.ip}:{control}',
                'directory': f'{self.ip}:{directory}'},
            'internal_ports': internal,
            'seed_nodes': [], 'bootstrap': True, 'fault_counted': False,
            'limits': {'cpu_share': 0.731, 'cpu_cores': 1, 'memory_mb': 222,
                       'max_fds': 1535, 'link_mbps': 350.0, 'disk_mb': 0},
            'data_dir': None, 'discovery': 'platform', 'entry_type': 'directory',
            'heartbeat_ms': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover',
                          'scatter', 'places', 'platform'],
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {'address': f'{store.ip}:{store.port}', 'form': 'objects',
                         'writes_per_s': 400, 'reads_per_s': 2000, 'history_s': 20,
                         'max_value_bytes': 1048576, 'min_ttl_ms': 1000},
        }
        self._settings = settings
        self._path = folder / f'{name}.json'
        self._log_path = folder / f'{name}.log'
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        self._path.write_text(json.dumps(self._settings))
        kept = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        environment = {
            **kept, 'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'DAISYDYKE_NODE_FILE': str(self._path),
        }
        log = self._log_path.open('ab')
        self.process = subprocess.Popen(
            ['python3', '-m', 'daisydyke._cli._gateway_main'],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self._settings['bootstrap'] = False
        self.record(f'{self.name}: started')

    def signal(self, number: int) -> None:
        self.process.send_signal(number)
        self.record(f'{self.name}: sent {signal.Signals(number).name}')

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        return self._log_path.read_text(errors='replace') if self._log_path.exists() else ''

    async def is_ready(self) -> bool:
        try:
            status, _, _ = await asyncio.wait_for(
                fetch(self.ip, self.readiness, '/-/ready'), 1)
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        return status == 200

    async def wait_ready(self, timeout: float = 25) -> None:
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if await self.is_ready():
                self.record(f'{self.name}: ready')
                return
            if self.process.poll() is not None:
                raise CannotRunError(f'{self.name} ended: {self.log()[-500:]}')
            await asyncio.sleep(0.1)
        raise CannotRunError(f'{self.name} not ready: {self.log()[-500:]}')


async def read_response(reader) -> tuple[int, dict[str, str], bytes]:
    head = await read_head(reader)
    if head is None:
        raise EOFError('closed before the response')
    first, fields = head
    try:
        body = await reader.readexactly(int(fields.get('content-length', 0)))
    except asyncio.IncompleteReadError as error:
        raise EOFError('closed inside the response') from error
    return int(first.split(' ')[1]), fields, body


async def fetch(ip, port, path, *, method='GET', fields=None, body=b''):
    """Send one request on a connection of its own and read the answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST_NAME}']
        lines += [f'{name}: {text}' for name, text in (fields or {}).items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()
        return await read_response(reader)
    finally:
        writer.close()


def new_id() -> str:
    return f'{random.getrandbits(64):016x}'


def run_case(folder: Path, main) -> None:
    """Run ``main(record, scratch folder)``; exit as run.sh has to.

    ``main`` returns a list of broken rules, each as one line of text.
    """
    record = Record(folder)
    scratch = Path(tempfile.mkdtemp(prefix='review-'))
    gateways: list[Gateway] = []
    try:
        broken = asyncio.run(asyncio.wait_for(main(record, scratch, gateways), 110))
    except Exception as error:
        record(f'cannot run: {type(error).__name__}: {error}')
        print('cannot run:', type(error).__name__, error)
        code = 2
    else:
        for line in broken:
            record(f'BROKEN: {line}')
            print('BROKEN:', line)
        record('broken' if broken else 'held')
        print('broken' if broken else 'held')
        code = 1 if broken else 0
    finally:
        for gateway in gateways:
            gateway.end()
            if os.environ.get('KEEP_LOG'):
                shutil.copy(gateway._log_path, folder / f'{gateway.name}.log')
        shutil.rmtree(scratch, ignore_errors=True)
    sys.exit(code)
