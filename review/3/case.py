"""Bodies without end: each is bounded, but its bytes are kept."""

from __future__ import annotations

import asyncio
import multiprocessing
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import (  # noqa: E402
    BOUNDS, HOST_NAME, LIMITS, TROUBLE, Gateway, Record, Store, fetch,
    free_address, new_id, read_head, read_response, run_case, server_entry,
)

FOLDER = Path(__file__).resolve().parent
BAD_SERVICE, SOUND_SERVICE = 'historia-verzii', 'planovac-dielne'
CHUNK = b'10000\r\n' + b'x' * 65536 + b'\r\n'
REQUESTS = 12
EVERY_S = 1.0
KEPT_CONNECTIONS = 10
WORK_S = 0.13
TIMEOUT_MS = 5000
# memory_mb of the settings, at its larger reading.
MEMORY_KB = 222 * 1024


def serve_without_end(listener: socket.socket) -> None:
    """Answer each request with a body that ends when the caller closes."""

    def serve(connection: socket.socket) -> None:
        received = b''
        try:
            while b'\r\n\r\n' not in received:
                piece = connection.recv(65536)
                if not piece:
                    return
                received += piece
            request_id = next(
                line.partition(b':')[2].strip() for line in received.split(b'\r\n')
                if line.lower().startswith(b'daisydyke-request-id:'))
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nDaisydyke-Request-Id: %b\r\nDaisydyke-Server-Stamp: %b.1\r\n'
                b'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n' % (request_id, request_id))
            if TROUBLE:
                while True:
                    connection.sendall(CHUNK)
            connection.sendall(CHUNK + b'0\r\n\r\n')
        except OSError:
            return
        finally:
            connection.close()

    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


class SoundServer:
    """A server that remembers which requests have reached it."""

    def __init__(self) -> None:
        self.passed_on: set[str] = set()

    async def serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                request_id = head[1]['daisydyke-request-id']
                self.passed_on.add(request_id)
                await asyncio.sleep(WORK_S)
                writer.write(
                    f'HTTP/1.1 200 OK\r\nDaisydyke-Request-Id: {request_id}\r\n'
                    f'Daisydyke-Server-Stamp: {request_id}.2\r\nContent-Length: 4\r\n\r\ndone'.encode())
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()


def route(name: str, prefix: str, service: str) -> dict:
    return {
        'name': name, 'host': HOST_NAME, 'path_prefix': prefix, 'route_type': 'idempotent',
        'timeout_ms': TIMEOUT_MS, 'target_latency_ms': 543, 'priority': 1, 'service': service,
        'max_attempts': 2}


def resident_kb(gateway: Gateway) -> int:
    try:
        status = Path(f'/proc/{gateway.process.pid}/status').read_text()
    except OSError:
        return 0
    lines = [line for line in status.splitlines() if line.startswith('VmRSS:')]
    return int(lines[0].split()[1]) if lines else 0


async def main(record: Record, scratch: Path, gateways: list[Gateway]) -> list[str]:
    ip = free_address()
    store = Store(ip, record)
    await store.start()
    listener = socket.create_server((ip, 0))
    bad = multiprocessing.get_context('fork').Process(target=serve_without_end, args=(listener,), daemon=True)
    bad.start()
    sound = SoundServer()
    sound_listener = await asyncio.start_server(sound.serve, ip, 0)
    await store.put('servers', 'i-7f3a91c2', server_entry(
        BAD_SERVICE, '%s:%d' % listener.getsockname(), capacity=3))
    await store.put('servers', 'i-02d9e6b4', server_entry(
        SOUND_SERVICE, '%s:%d' % sound_listener.sockets[0].getsockname(), capacity=12))
    await store.put('config', 'main', {
        'version': 7,
        'routes': [route('r-1', '/poznamky/', BAD_SERVICE), route('r-2', '/dielne/', SOUND_SERVICE)],
        'services': [{'name': name, 'health_path': '/health', 'max_connections': 82, 'protocol': 'h1',
                      'tls': False, 'warmup_s': 3.0, 'warmup_per_s': 0.0} for name in (BAD_SERVICE, SOUND_SERVICE)],
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
                if request_id in sound.passed_on:
                    lost.append(request_id)
                record(f'client: {request_id} on a kept connection: closed without an answer, '
                       f'passed on: {request_id in sound.passed_on}')
                return
            served += status == 200

    async def enforce_memory() -> None:
        """Kill a process that exceeds its memory, as the platform does."""
        while gateway.process.poll() is None:
            if resident_kb(gateway) > MEMORY_KB:
                record(f'platform: {gateway.name} holds {resident_kb(gateway)} kB, more than its {MEMORY_KB} kB: killed')
                gateway.process.kill()
                gateway.process.wait()
                return
            await asyncio.sleep(0.02)

    tasks = [asyncio.create_task(enforce_memory())]
    tasks += [asyncio.create_task(keep_asking()) for _ in range(KEPT_CONNECTIONS)]
    try:
        for number in range(1, REQUESTS + 1):
            await asyncio.sleep(EVERY_S)
            if gateway.process.poll() is not None:
                break
            fields = {'Daisydyke-Request-Id': new_id(), 'Daisydyke-Deadline-Ms': str(TIMEOUT_MS)}
            try:
                status, _, _ = await asyncio.wait_for(
                    fetch(gateway.ip, gateway.front, '/poznamky/1', fields=fields), TIMEOUT_MS / 1000)
                outcome = str(status)
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                outcome = type(error).__name__
            record(f'client: request {number} to the server in trouble: {outcome}; the process holds {resident_kb(gateway)} kB')
        await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
    finally:
        bad.terminate()
        bad.join()
    record(f'result: {number} requests to the server in trouble; served by the sound one {served}, lost {len(lost)}')
    print('served', served, 'lost', len(lost))
    if len(lost) > 3:
        return [f'LOST: {len(lost)} requests of kept connections, passed on to a sound server, ended without an '
                'answer when the process exceeded its memory']
    return []


run_case(FOLDER, main)
