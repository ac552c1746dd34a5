"""Starts a small cluster in separate processes on loopback addresses."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 15.0
_POLL_INTERVAL_S = 0.05
_CALL_TIMEOUT_S = 5.0
_LOOPBACK_NETWORKS = 200
_PLATFORM_PORT = 7000
_BACKEND_PORT = 9000
_CALLER_PORT = 8080
DOMAINS = ('north', 'centre', 'south')

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Size and behaviour of a cluster.

    Parameters:
        entry_vms: number of entry VMs, each with one entry daemon.
        ranges: number of key ranges of the only service.
        replicas: backend servers for each range.
        service_ms: time that a server needs for a sub-request.
        distance_ms: one-way network delay between entry VM and server.
        slow_share: share of sub-requests that are slow.
        slow_factor: ratio of a slow sub-request's time to ``service_ms``.
        slots: sub-requests that a server may run at the same time.
        cold_requests_per_s: rate that a cold server can handle according to
            the service's document.
        server_cold_requests_per_s: rate that a cold stand-in server handles;
            0 for no limit.
        server_processes: number of processes that run the backend servers;
            0 for one process for each server.
        keys_per_range: number of keys in each key range.
        minimum_coverage: smallest share of the keys that an answer may cover.
        extra_share: hedges and retries allowed, as a share of the first
            attempts.
        session_ttl_s: time for which a renewal keeps a session valid.
        entry_settings: settings of the entry daemons that are added to those
            of the cluster or replace them.
    """

    entry_vms: int = 3
    ranges: int = 20
    replicas: int = 2
    service_ms: float = 6.0
    distance_ms: float = 1.0
    slow_share: float = 0
    slow_factor: float = 20.0
    slots: int = 2
    cold_requests_per_s: float = 5.0
    server_cold_requests_per_s: float = 0
    server_processes: int = 0
    keys_per_range: int = 64
    minimum_coverage: float = 0
    extra_share: float = 0.02
    session_ttl_s: float = 15.0
    entry_settings: JsonObject = field(default_factory=dict)


class Cluster:
    """Processes of one cluster; a context manager that runs them.

    Parameters:
        config: size and behaviour of the cluster.

    Attributes:
        folder: settings and logs of the processes; removed on exit.
        processes: running processes by name: ``platform``, ``entry0``, ...,
            and ``server0.0`` (range and replica), ... or ``servers0``, ...
        platform_address: ``host:port`` of the platform stand-in.
    """

    def __init__(self, config: ClusterConfig) -> None:
        """Initialize without processes; create the folder."""
        self.config = config
        self._network_prefix = f'127.{20 + os.getpid() % _LOOPBACK_NETWORKS}'
        self._temporary_folder = tempfile.TemporaryDirectory(
            prefix='daisydyke-',
        )
        self.folder = Path(self._temporary_folder.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.platform_address = f'{self._network_prefix}.0.1:{_PLATFORM_PORT}'

    def __enter__(self) -> Cluster:
        """Start all processes and wait until the servers have owners."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End all processes and remove their files."""
        self.stop()

    def entry_host(self, index: int) -> str:
        """Return the IP address of an entry VM."""
        return f'{self._network_prefix}.1.{index + 1}'

    def entry_address(self, index: int) -> str:
        """Return the ``host:port`` of an entry VM's caller interface."""
        return f'{self.entry_host(index)}:{_CALLER_PORT}'

    def server_address(self, range_index: int, replica: int) -> str:
        """Return the ``host:port`` of the server of a range's replica."""
        high, low = divmod(range_index, 250)
        return (
            f'{self._network_prefix}.{10 + 10 * replica + high}.{low + 1}'
            f':{_BACKEND_PORT}'
        )

    def server_domain(self, range_index: int, replica: int) -> str:
        """Return the failure domain of a range's replica."""
        return DOMAINS[(range_index + replica) % len(DOMAINS)]

    def service_document(self) -> JsonObject:
        """Return the document that configures the search service."""
        config = self.config
        return {
            'name': 'rota-search',
            'keys': config.ranges * config.keys_per_range,
            'servers': [
                {
                    'address': self.server_address(range_index, replica),
                    'domain': self.server_domain(range_index, replica),
                }
                for range_index in range(config.ranges)
                for replica in range(config.replicas)
            ],
            'limits': {
                'slots': config.slots,
                'connections': 60,
                'cold_requests_per_s': config.cold_requests_per_s,
            },
            'answers': {
                'minimum_coverage': config.minimum_coverage,
                'extra_share': config.extra_share,
            },
        }

    def start(self) -> None:
        """Start the platform, the servers and the entry daemons.

        Raises:
            TimeoutError: a process does not answer or a server has no owner
                within the time allowed.
        """
        self._spawn(
            'platform', '-m', 'stand_ins.platform', self.platform_address
        )
        self._wait_for_http(self.platform_address, '/v1/objects?kinds=service')
        self.set_vms(range(self.config.entry_vms))
        call(
            self.platform_address,
            'PUT',
            '/v1/objects/service/rota-search',
            self.service_document(),
        )
        self._start_servers()
        for index in range(self.config.entry_vms):
            self.start_entry(index)
        self.wait_until_ready()

    def set_vms(self, indexes: range | list[int]) -> None:
        """Replace the platform's list of entry VMs."""
        vms = [
            {'name': f'entry{index}', 'address': self.entry_host(index)}
            for index in indexes
        ]
        call(self.platform_address, 'PUT', '/vms', {'vms': vms})

    def start_entry(self, index: int) -> None:
        """Write the settings of an entry daemon and start it."""
        path = self.folder / f'entry{index}.json'
        settings = {
            'vm': f'entry{index}',
            'domain': DOMAINS[index % len(DOMAINS)],
            'host': self.entry_host(index),
            'platform': self.platform_address,
            'lease': {'session_ttl_s': self.config.session_ttl_s},
            **self.config.entry_settings,
        }
        path.write_text(json.dumps(settings))
        self._spawn(f'entry{index}', '-m', 'bench.daemon', str(path))

    def start_server(self, range_index: int, replica: int) -> None:
        """Start one backend server in a process of its own."""
        self._start_server_group(
            f'server{range_index}.{replica}',
            [(range_index, replica)],
        )

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process of the cluster."""
        self.processes[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has ended."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """End a process with SIGTERM.

        Returns:
            The exit code.

        Raises:
            subprocess.TimeoutExpired: the process has not ended in time.
        """
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(_STOP_TIMEOUT_S)

    def log_records(self, name: str) -> list[JsonObject]:
        """Return the JSON records in the log of a process."""
        text = (self.folder / f'{name}.log').read_text()
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{')
        ]

    def wait_until_ready(self, entry_indexes: list[int] | None = None) -> None:
        """Wait until every server has an owner and none is ``lost``.

        Parameters:
            entry_indexes: entry VMs whose servers are counted; None for all.

        Raises:
            TimeoutError: a server has no owner, or is ``lost``, after the
                time allowed.
        """
        deadline = time.monotonic() + _START_TIMEOUT_S
        indexes = entry_indexes or list(range(self.config.entry_vms))
        server_count = self.config.ranges * self.config.replicas
        while time.monotonic() < deadline:
            owned = [
                self._entry_status(index).get('owned', {}) for index in indexes
            ]
            phases = [
                phase
                for phases_by_server in owned
                for phase in phases_by_server.values()
            ]
            if len(phases) >= server_count and 'lost' not in phases:
                return
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(
            f'servers unowned or lost after {_START_TIMEOUT_S:g} s; '
            f'logs in {self.folder}',
        )

    def stop(self) -> None:
        """Kill all processes and remove the folder."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self._temporary_folder.cleanup()

    def _entry_status(self, index: int) -> JsonObject:
        try:
            return call(self.entry_address(index), 'GET', '/v1/status')[1]
        except (OSError, HTTPException):
            return {}

    def _start_servers(self) -> None:
        replicas = [
            (range_index, replica)
            for range_index in range(self.config.ranges)
            for replica in range(self.config.replicas)
        ]
        process_count = self.config.server_processes
        if not process_count:
            for range_index, replica in replicas:
                self.start_server(range_index, replica)
            return
        for index in range(process_count):
            self._start_server_group(
                f'servers{index}',
                replicas[index::process_count],
            )

    def _start_server_group(
        self,
        name: str,
        replicas: list[tuple[int, int]],
    ) -> None:
        config = self.config
        size = config.keys_per_range
        servers = [
            {
                'address': self.server_address(range_index, replica),
                'indexes': {
                    '1': [[range_index * size, (range_index + 1) * size]],
                },
                'service_ms': config.service_ms,
                'distance_ms': config.distance_ms,
                'slots': config.slots,
                'slow_share': config.slow_share,
                'slow_factor': config.slow_factor,
                'cold_rate': config.server_cold_requests_per_s,
                'seed': range_index * 10 + replica,
            }
            for range_index, replica in replicas
        ]
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(servers))
        self._spawn(name, '-m', 'stand_ins.backend', str(path))

    def _spawn(self, name: str, *arguments: str) -> None:
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(  # noqa: S603
                [sys.executable, *arguments],
                stderr=log,
                stdout=log,
            )

    def _wait_for_http(self, address: str, target: str) -> None:
        deadline = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                call(address, 'GET', target)
            except OSError:
                time.sleep(_POLL_INTERVAL_S)
            else:
                return
        raise TimeoutError(address)


def call(
    address: str,
    method: str,
    target: str,
    body: JsonObject | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, JsonObject]:
    """Make an HTTP call on a connection of its own.

    Parameters:
        address: ``host:port`` of the server.
        target: path with its query string.
        body: sent as JSON; None for an empty body.

    Returns:
        The status and the decoded JSON body; an empty body gives ``{}``.

    Raises:
        OSError: the connection fails, or the server does not answer in time.
        HTTPException: the response is not valid HTTP.
    """
    connection = HTTPConnection(address, timeout=_CALL_TIMEOUT_S)
    text = None if body is None else json.dumps(body)
    try:
        connection.request(method, target, text, headers or {})
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b'{}')
    finally:
        connection.close()


def is_ok(status: int) -> bool:
    """Return whether a status is 200."""
    return status == HTTPStatus.OK
