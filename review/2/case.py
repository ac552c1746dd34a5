"""A server rejects long requests early and closes; the whole process ends."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import (  # noqa: E402
    BOUNDS, HOST_NAME, LIMITS, TROUBLE, Gateway, Record, Store, fetch, free_address,
    new_id, read_head, read_response, run_case, server_entry,
)

FOLDER = Path(__file__).resolve().parent
LONG_SERVICE = 'historia-verzii'
SOUND_SERVICE = 'planovac-dielne'
ROUNDS = 6
LONG_BYTES = 240_000
KEPT_CONNECTIONS = 10
WORK_S = 0.13
TIMEOUT_MS = 5000


async def start_server(ip, serve, **options) -> str:
    # Small windows and Ethernet segments, as on a link between machines.
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    listener.bind((ip, 0))
    await asyncio.start_server(serve, sock=listener, **options)
    return f'{ip}:{listener.getsockname()[1]}'


class Servers:
    """The servers; ``at_work`` holds the requests that reached the sound one."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.passed_on: set[str] = set()

    async def serve_long(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                _, fields = head
                request_id = fields['daisydyke-request-id']
                length = int(fields.get('content-length', 0))
                if length > 65536 and TROUBLE:
                    # Rejected before it is in. What is still due is read and
                    # dropped, so that the answer isn't lost to a reset.
                    self._answer(writer, 503, request_id, b'full', 'Daisydyke-Not-Executed: 1\r\nConnection: close\r\n')
                    await writer.drain()
                    writer.write_eof()
                    self.record(f'server: {request_id} rejected early, connection closed')
                    await asyncio.sleep(0.3)
                    while await reader.read(4096):
                        await asyncio.sleep(0.005)
                    return
                await reader.readexactly(length)
                self.record(f'server: {request_id} run, {length} bytes')
                await asyncio.sleep(0.01)
                self._answer(writer, 200, request_id, b'done', f'Daisydyke-Server-Stamp: {request_id}.1\r\n')
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def serve_sound(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                request_id = head[1]['daisydyke-request-id']
                self.passed_on.add(request_id)
                await asyncio.sleep(WORK_S)
                self._answer(writer, 200, request_id, b'done', f'Daisydyke-Server-Stamp: {request_id}.2\r\n')
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()

    def _answer(self, writer, status, request_id, body, more) -> None:
        writer.write(
            f'HTTP/1.1 {status} X\r\nDaisydyke-Request-Id: {request_id}\r\n{more}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode() + body)


def route(name: str, prefix: str, service: str, kind: str) -> dict:
    return {
        'name': name, 'host': HOST_NAME, 'path_prefix': prefix, 'route_type': kind,
        'timeout_ms': TIMEOUT_MS, 'target_latency_ms': 543, 'priority': 1,
        'service': service, 'max_attempts': 1}


def service(name: str) -> dict:
    return {
        'name': name, 'health_path': '/health', 'max_connections': 82, 'protocol': 'h1',
        'tls': False, 'warmup_s': 3.0, 'warmup_per_s': 0.0}


async def main(record: Record, scratch: Path, gateways: list[Gateway]) -> list[str]:
    ip = free_address()
    store = Store(ip, record)
    await store.start()
    servers = Servers(record)
    long_address = await start_server(ip, servers.serve_long, limit=8192)
    sound_address = await start_server(ip, servers.serve_sound)
    await store.put('servers', 'i-7f3a91c2', server_entry(LONG_SERVICE, long_address, capacity=3))
    await store.put('servers', 'i-02d9e6b4', server_entry(SOUND_SERVICE, sound_address, capacity=12))
    await store.put('config', 'main', {
        'version': 7,
        'routes': [
            route('r-1', '/poznamky/', LONG_SERVICE, 'non_idempotent'),
            route('r-2', '/dielne/', SOUND_SERVICE, 'idempotent')],
        'services': [service(LONG_SERVICE), service(SOUND_SERVICE)],
        'limits': LIMITS})
    gateway = Gateway('frontend-1', store, record, scratch, ip)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(BOUNDS['contact_ms'] / 1000)
    lost: list[str] = []
    served = 0

    async def keep_asking() -> None:
        """Send requests one after the other on a kept connection."""
        nonlocal served
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        while True:
            request_id = new_id()
            writer.write(
                f'GET /dielne/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nDaisydyke-Request-Id: {request_id}\r\n'
                f'Daisydyke-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n'.encode())
            try:
                status, _, _ = await read_response(reader)
            except (OSError, EOFError):
                if request_id in servers.passed_on:
                    lost.append(request_id)
                record(f'client: {request_id} on a kept connection: closed without an answer, '
                       f'passed on: {request_id in servers.passed_on}')
                return
            served += status == 200

    async def post(body: bytes) -> None:
        request_id = new_id()
        fields = {'Daisydyke-Request-Id': request_id, 'Daisydyke-Deadline-Ms': str(TIMEOUT_MS)}
        try:
            status, _, _ = await asyncio.wait_for(
                fetch(gateway.ip, gateway.front, '/poznamky/1', method='POST', fields=fields, body=body),
                TIMEOUT_MS / 1000 + 0.5)
            outcome = str(status)
        except asyncio.TimeoutError:
            outcome = 'no answer'
        except (OSError, EOFError) as error:
            outcome = f'closed ({error})'
        record(f'client: {request_id}, {len(body)} bytes: {outcome}')

    async def platform() -> None:
        """Ask for the readiness once a second, as the platform does."""
        while True:
            await gateway.is_ready()
            await asyncio.sleep(1)

    async def newcomers() -> None:
        """Send requests of clients that open a connection for each."""
        while True:
            fields = {'Daisydyke-Request-Id': new_id(), 'Daisydyke-Deadline-Ms': str(TIMEOUT_MS)}
            try:
                await asyncio.wait_for(
                    fetch(gateway.ip, gateway.front, '/dielne/1', fields=fields),
                    TIMEOUT_MS / 1000 + 0.5)
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                record(f'client: on a new connection: {type(error).__name__}')
            await asyncio.sleep(0.1)

    kept = [asyncio.create_task(platform()), asyncio.create_task(newcomers())]
    kept += [asyncio.create_task(keep_asking()) for _ in range(KEPT_CONNECTIONS)]
    await asyncio.sleep(0.5)
    for _ in range(ROUNDS):
        if gateway.process.poll() is not None:
            break
        await post(b'x')
        await post(b'y' * LONG_BYTES)
        await asyncio.sleep(0.2)
    await asyncio.sleep(0.5)
    for task in kept:
        task.cancel()
    record(f'result: served {served}, lost {len(lost)}')
    print('served', served, 'lost', len(lost))
    broken = []
    if gateway.process.poll() is not None:
        # For the record only; the rule is judged below.
        record(f'result: {gateway.name} ended by itself: {gateway.log().strip().splitlines()[-1]}')
    if len(lost) > 3:
        broken.append(f'LOST: {len(lost)} requests of kept connections, passed on to a sound server, ended without an answer')
    return broken


run_case(FOLDER, main)
