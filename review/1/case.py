"""A server answers a long request before it has read it, and reads on later."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import (  # noqa: E402
    BOUNDS, HOST_NAME, LIMITS, TROUBLE, Gateway, Record, Store, fetch, free_address,
    new_id, read_head, run_case, server_entry,
)

FOLDER = Path(__file__).resolve().parent
SERVICE = 'historia-verzii'
SERVER_ID = 'i-7f3a91c2'
ROUNDS = 6
LONG_BYTES = 240_000
READ_ON_AFTER_S = 0.4
CHUNK_BYTES = 4096
TIMEOUT_MS = 5000


def long_body(request_id: str) -> bytes:
    """Return a body in which each 32-byte line names the request."""
    line = f'{request_id:-<31}\n'.encode()
    return line * (LONG_BYTES // len(line))


class Server:
    """A server that checks what it gets against what the clients sent."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.sent: dict[str, bytes] = {}
        self.broken: list[str] = []

    async def start(self, ip: str) -> str:
        # Small windows and Ethernet segments, as on a link between machines.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        listener.bind((ip, 0))
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=8192)
        return f'{ip}:{listener.getsockname()[1]}'

    async def _serve(self, reader, writer) -> None:
        peer = writer.get_extra_info('peername')[1]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, fields = head
                request_id = fields.get('daisydyke-request-id', '')
                length = int(fields.get('content-length', 0))
                if request_id not in self.sent:
                    self.broken.append(
                        f'UNASKED: connection {peer} brought {first!r} with the id {request_id!r}, which no client sent')
                    return
                if length > 65536 and TROUBLE:
                    # Rejected before it is in; the rest is read on later.
                    await self._answer(writer, request_id, 503, b'full', 'Daisydyke-Not-Executed: 1\r\n')
                    self.record(f'server: {request_id} rejected early on connection {peer}, {length} bytes due')
                    await asyncio.sleep(READ_ON_AFTER_S)
                    await self._read_body(reader, peer, request_id, length, slowly=True)
                    continue
                body = await self._read_body(reader, peer, request_id, length, slowly=False)
                self.record(f'server: {request_id} run on connection {peer}, {len(body)} bytes')
                await asyncio.sleep(0.01)
                await self._answer(writer, request_id, 200, b'done ' + request_id.encode(), f'Daisydyke-Server-Stamp: {request_id}.1\r\n')
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record(f'server: connection {peer} ended: {type(error).__name__}')
        finally:
            writer.close()

    async def _read_body(self, reader, peer, request_id, length, *, slowly) -> bytes:
        body = b''
        while len(body) < length:
            piece = await reader.read(min(CHUNK_BYTES, length - len(body)))
            if not piece:
                raise asyncio.IncompleteReadError(body, length)
            due = self.sent[request_id][len(body):len(body) + len(piece)]
            if piece != due:
                at = next(i for i, pair in enumerate(zip(piece, due)) if pair[0] != pair[1])
                got = piece[at:at + 100]
                self.broken.append(
                    f'UNASKED: connection {peer}: at byte {len(body) + at} of {length} of the body of {request_id} came {got!r}')
                raise asyncio.IncompleteReadError(body, length)
            body += piece
            if slowly:
                await asyncio.sleep(0.005)
        return body

    async def _answer(self, writer, request_id, status, body, more) -> None:
        writer.write(
            f'HTTP/1.1 {status} X\r\nDaisydyke-Request-Id: {request_id}\r\n{more}'
            f'Keep-Alive: timeout=20\r\nContent-Length: {len(body)}\r\n\r\n'.encode() + body)
        await writer.drain()


async def main(record: Record, scratch: Path, gateways: list[Gateway]) -> list[str]:
    ip = free_address()
    store = Store(ip, record)
    await store.start()
    server = Server(record)
    address = await server.start(ip)
    await store.put('servers', SERVER_ID, server_entry(SERVICE, address, capacity=3))
    await store.put('config', 'main', {
        'version': 7,
        'routes': [{
            'name': 'r-1', 'host': HOST_NAME, 'path_prefix': '/poznamky/',
            'route_type': 'non_idempotent', 'timeout_ms': TIMEOUT_MS,
            'target_latency_ms': 543, 'priority': 1, 'service': SERVICE, 'max_attempts': 1}],
        'services': [{'name': SERVICE, 'health_path': '/health', 'max_connections': 82,
                      'protocol': 'h1', 'tls': False, 'warmup_s': 3.0, 'warmup_per_s': 0.0}],
        'limits': LIMITS})
    gateway = Gateway('frontend-1', store, record, scratch, ip)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(BOUNDS['contact_ms'] / 1000)
    broken: list[str] = []
    counts: dict[str, int] = {}

    async def send(body: bytes, request_id: str, name: str) -> None:
        server.sent[request_id] = body
        started = time.monotonic()
        record(f'client: {request_id} sent, {name}, {len(body)} bytes')
        fields = {'Daisydyke-Request-Id': request_id, 'Daisydyke-Deadline-Ms': str(TIMEOUT_MS)}
        try:
            status, fields, answer = await asyncio.wait_for(
                fetch(gateway.ip, gateway.front, '/poznamky/1', method='POST', fields=fields, body=body),
                TIMEOUT_MS / 1000 + 1.5)
            outcome = str(status)
            if status == 200 and answer != b'done ' + request_id.encode():
                broken.append(f'MIXED: {request_id} got {answer!r}')
        except asyncio.TimeoutError:
            outcome = 'no answer'
        except (OSError, EOFError) as error:
            outcome = f'closed ({error})'
        took = time.monotonic() - started
        record(f'client: {request_id} {name}: {outcome} after {took:.2f} s')
        counts[f'{name}: {outcome}'] = counts.get(f'{name}: {outcome}', 0) + 1

    for _ in range(3):
        await send(b'x', new_id(), 'short')
    for _ in range(ROUNDS):
        if gateway.process.poll() is not None or server.broken:
            break
        tasks = []
        request_id = new_id()
        tasks.append(asyncio.create_task(send(long_body(request_id), request_id, 'long')))
        for _ in range(8):
            await asyncio.sleep(0.1)
            tasks.append(asyncio.create_task(send(b'x', new_id(), 'short')))
        await asyncio.gather(*tasks)
    for name, count in sorted(counts.items()):
        record(f'result: {name}: {count}')
        print(name, count)
    broken += server.broken
    # For the record only.
    if gateway.process.poll() is not None:
        record(f'result: {gateway.name} ended by itself: {gateway.log().strip().splitlines()[-1]}')
    return broken


run_case(FOLDER, main)
