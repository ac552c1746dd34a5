"""The answer that brings the last of a few configurations is lost."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import (  # noqa: E402
    BOUNDS, HOST_NAME, LIMITS, TROUBLE, Gateway, Record, Store, fetch,
    free_address, new_id, read_head, run_case, server_entry,
)

FOLDER = Path(__file__).resolve().parent
OLD, NEW = 'historia-verzii', 'planovac-dielne'
TIMEOUT_MS = 5000
CHANGES = 4
GAP_S = 0.33
TRIES = 3
OBSERVED_S = 5


class Server:
    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.runs: set[str] = set()

    async def start(self, ip: str) -> str:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        return f'{ip}:{self._server.sockets[0].getsockname()[1]}'

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                request_id = head[1]['daisydyke-request-id']
                self.runs.add(request_id)
                await asyncio.sleep(0.05)
                writer.write(
                    f'HTTP/1.1 200 OK\r\nDaisydyke-Request-Id: {request_id}\r\n'
                    f'Daisydyke-Server-Stamp: {request_id}.1\r\nContent-Length: 4\r\n\r\ndone'.encode())
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()


def configuration(version: int, service: str) -> dict:
    return {
        'version': version,
        'routes': [{
            'name': 'r-1', 'host': HOST_NAME, 'path_prefix': '/poznamky/',
            'route_type': 'idempotent', 'timeout_ms': TIMEOUT_MS,
            'target_latency_ms': 543, 'priority': 1, 'service': service, 'max_attempts': 2}],
        'services': [{'name': name, 'health_path': '/health', 'max_connections': 82,
                      'protocol': 'h1', 'tls': False, 'warmup_s': 3.0, 'warmup_per_s': 0.0}
                     for name in (OLD, NEW)],
        'limits': LIMITS}


async def main(record: Record, scratch: Path, gateways: list[Gateway]) -> list[str]:
    ip = free_address()
    store = Store(ip, record)
    await store.start()
    servers = {}
    for index, name in enumerate((OLD, NEW)):
        servers[name] = Server(name, record)
        address = await servers[name].start(ip)
        await store.put('servers', f'i-7f3a91c{index}', server_entry(name, address, capacity=3))
    await store.put('config', 'main', configuration(7, OLD))
    gateways.append(Gateway('frontend-1', store, record, scratch, ip))
    gateways.append(Gateway('frontend-2', store, record, scratch, free_address(), like=gateways[0]))
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    sent: list[tuple[float, str]] = []

    async def keep_asking(gateway: Gateway) -> None:
        while True:
            request_id = new_id()
            sent.append((record.now(), request_id))
            fields = {'Daisydyke-Request-Id': request_id, 'Daisydyke-Deadline-Ms': str(TIMEOUT_MS)}
            try:
                status, _, _ = await asyncio.wait_for(
                    fetch(gateway.ip, gateway.front, '/poznamky/1', fields=fields), TIMEOUT_MS / 1000)
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                status = type(error).__name__
            ran = [name for name, server in servers.items() if request_id in server.runs]
            record(f'client: {request_id} to {gateway.name}: {status}, run by {ran}')
            await asyncio.sleep(0.2)

    clients = [asyncio.create_task(keep_asking(gateway)) for gateway in gateways]
    await asyncio.sleep(BOUNDS['contact_ms'] / 1000 + 0.5)
    # The bound, stretched as far as an unstable core may stretch it.
    bound = (BOUNDS['config_apply_ms'] + BOUNDS['max_skew_ms']) / 1000
    version, old, new = 7, OLD, NEW
    for _ in range(TRIES):
        last = version + CHANGES
        if TROUBLE:
            store.loses = lambda method, target, body: (
                method == 'GET' and 'watch=' in target and f'"version": {last},'.encode() in body)
        for version in range(version + 1, last + 1):
            await store.put('config', 'main', configuration(version, new if version == last else old))
            acknowledged = record.now()
            await asyncio.sleep(GAP_S)
        store.loses = lambda method, target, body: False
        await asyncio.sleep(bound + OBSERVED_S)
        after = [request_id for at, request_id in sent if at > acknowledged + bound]
        late = [request_id for request_id in after if request_id in servers[old].runs]
        record(f'result: {len(late)} of {len(after)} requests sent more than {bound} s after version {last} was '
               f'acknowledged were run by {old}')
        if late:
            break
        old, new = new, old
        await asyncio.sleep(0.4)
    for client in clients:
        client.cancel()
    if late:
        return [f'CONFIG: {len(late)} of {len(after)} requests sent more than {bound} s after version {last} was '
                f'acknowledged were run by the service of version {last - 1}']
    return []


run_case(FOLDER, main)
