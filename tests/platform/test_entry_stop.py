"""Tests of a planned stop of an entry daemon, in processes of their own."""

from __future__ import annotations

import json
import signal
import socket
import struct
import subprocess
import time
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack
from http import HTTPStatus
from threading import Event
from typing import BinaryIO

import msgspec
from testtools import TestCase
from testtools.matchers import Contains, Equals

from bench.cluster import Cluster, ClusterConfig, JsonObject, call
from daisydyke._adapters._frames import (
    CommitForward,
    CommitReply,
    Hello,
    Message,
)

SERVICE_TIME_MS = 900.0
QUERY = {'service': 'rota-search', 'deadline_ms': 1900}
COMMIT = b'{"service":"rota-search","key":1,"deadline_ms":1900}'
# Shorter than a commit runs, so that there is always one in progress.
COMMIT_INTERVAL_S = 0.3
STATUS_REQUESTS = b'GET /v1/status HTTP/1.1\r\nHost: entry0\r\n\r\n' * 100
BATCH_COUNT = 150
BATCH_INTERVAL_S = 0.01
RECEIVE_BUFFER_BYTES = 4096
CALLER_PORT = 8080
BURST_INTERVAL_S = 0.0002
PEER_PORT = 8081
LENGTH_PREFIX = struct.Struct('>I')
# For a request to reach its server.
SENDING_S = 0.3
START_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 15.0
SIGNAL_INTERVAL_S = 0.001
OPEN_CONNECTION_COUNT = 300
CONNECTOR_COUNT = 4
CONNECT_INTERVAL_S = 0.002
ENTRY = 'entry0'

Answer = tuple[int, JsonObject]


def make_cluster() -> Cluster:
    """Return a cluster of one entry daemon and one slow server."""
    config = ClusterConfig(
        entry_vms=1,
        ranges=1,
        replicas=1,
        service_ms=SERVICE_TIME_MS,
        slots=4,
        cold_requests_per_s=100.0,
        entry_settings={'address_keep_ms': 100},
    )
    return Cluster(config)


def send_query(cluster: Cluster) -> Answer:
    """Send a query; return status and body of its answer."""
    return call(cluster.entry_address(0), 'POST', '/v1/query', QUERY)


def wait_for_answers(cluster: Cluster) -> None:
    """Wait until queries are answered.

    Raises:
        TimeoutError: none was answered within the time allowed.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while send_query(cluster)[0] != HTTPStatus.OK:
        if time.monotonic() > deadline:
            raise TimeoutError
        time.sleep(POLL_INTERVAL_S)


def stop_with_queries(
    cluster: Cluster, query_count: int
) -> tuple[int, list[Future[Answer]]]:
    """Stop the entry daemon while it runs queries.

    Returns:
        The exit code, and each query's answer or the error of its connection.
    """
    wait_for_answers(cluster)
    with ThreadPoolExecutor(query_count) as callers:
        answers = [
            callers.submit(send_query, cluster) for _ in range(query_count)
        ]
        time.sleep(SENDING_S)
        exit_code = cluster.terminate(ENTRY)
    return exit_code, answers


def send_and_read_nothing(cluster: Cluster) -> socket.socket:
    """Send requests until their answers fill the buffers of both sockets."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    caller.connect((cluster.entry_host(0), CALLER_PORT))
    for _ in range(BATCH_COUNT):
        caller.sendall(STATUS_REQUESTS)
        time.sleep(BATCH_INTERVAL_S)
    return caller


def connect_until_gone(cluster: Cluster) -> None:
    """Open connections, and keep them, until the daemon has gone."""
    address = (cluster.entry_host(0), CALLER_PORT)
    with ExitStack() as connections:
        while True:
            try:
                connection = socket.create_connection(address)
            except OSError:
                return
            connections.enter_context(connection)
            time.sleep(CONNECT_INTERVAL_S)


class Peer:
    """Another entry VM that forwards commits to the daemon.

    Attributes:
        sent_count: number of commits that were forwarded.
        replies: codes of the answered commits by number, None for a commit
            that has run.
    """

    def __init__(self, cluster: Cluster) -> None:
        """Connect to the daemon."""
        target = '/v1/addresses'
        body = call(cluster.entry_address(0), 'GET', target)[1]
        self._key_prefix = body['idempotency_prefix']
        self._socket = socket.create_connection(
            (cluster.entry_host(0), PEER_PORT)
        )
        self._send([Hello('entry9', 1)])
        self.sent_count = 0
        self.replies: dict[int, str | None] = {}

    def forward(self, interval_s: float, stopped: Event) -> None:
        """Forward one commit after the other until the daemon has gone."""
        while not stopped.wait(interval_s):
            name = str(self.sent_count)
            key = self._key_prefix + name
            try:
                self._send([CommitForward(self.sent_count, COMMIT, key, name)])
            except OSError:
                return
            self.sent_count += 1

    def receive(self) -> None:
        """Receive replies until the daemon has gone."""
        with self._socket.makefile('rb') as stream:
            while prefix := _read(stream, LENGTH_PREFIX.size):
                body = _read(stream, LENGTH_PREFIX.unpack(prefix)[0])
                for message in msgspec.msgpack.decode(body, type=list[Message]):
                    self._take(message)

    def _take(self, message: Message) -> None:
        if isinstance(message, CommitReply):
            code = json.loads(message.body).get('code')
            self.replies[message.call_id] = code

    def _send(self, messages: list[Message]) -> None:
        body = msgspec.msgpack.encode(messages)
        self._socket.sendall(LENGTH_PREFIX.pack(len(body)) + body)


def _read(stream: BinaryIO, size: int) -> bytes:
    try:
        return stream.read(size)
    except OSError:
        return b''


class TestEntryStop(TestCase):
    """run_entry()"""

    def test_query_in_progress(self) -> None:
        """A query that has been read before SIGTERM is answered (LOST).

        The process ended at once, with the tasks that should have drained it.
        """
        with make_cluster() as cluster:
            exit_code, answers = stop_with_queries(cluster, 1)
            events = [record['event'] for record in cluster.log_records(ENTRY)]
        self.assertThat(answers[0].exception(), Equals(None))
        status, body = answers[0].result()
        self.assertThat(status, Equals(HTTPStatus.OK))
        self.assertThat(body['coverage']['share'], Equals(1))
        self.assertThat(exit_code, Equals(0))
        self.assertThat(events[-1], Equals('left'))

    def test_signals_during_the_last_steps(self) -> None:
        """Signals that go on until the process is gone end it with 0.

        The interpreter restores the default action of each signal before it
        exits, so that the process ended as if it had been killed.
        """
        with make_cluster() as cluster:
            process = cluster.processes[ENTRY]
            deadline = time.monotonic() + STOP_TIMEOUT_S
            while process.poll() is None and time.monotonic() < deadline:
                process.send_signal(signal.SIGTERM)
                time.sleep(SIGNAL_INTERVAL_S)
            self.assertThat(process.poll(), Equals(0))

    def test_commits_that_go_on(self) -> None:
        """Commits that other VMs go on forwarding do not hold up a stop.

        The process waited for a moment without a commit, and was killed at
        the end of the grace period with those in progress (LOST).
        """
        with make_cluster() as cluster, ThreadPoolExecutor(2) as threads:
            wait_for_answers(cluster)
            peer = Peer(cluster)
            stopped = Event()
            threads.submit(peer.receive)
            threads.submit(peer.forward, COMMIT_INTERVAL_S, stopped)
            time.sleep(SERVICE_TIME_MS / 1000)
            sent_before = peer.sent_count
            try:
                exit_code = self._stop(cluster)
            finally:
                stopped.set()
                cluster.kill(ENTRY)
        self.assertThat(exit_code, Equals(0))
        before = {peer.replies.get(number, '') for number in range(sent_before)}
        self.assertThat(before, Equals({None}))
        self.assertThat(peer.replies.values(), Contains('entry_leaving'))

    def test_second_signal_beside_commits(self) -> None:
        """A second signal ends the process with 0 whatever still arrives.

        Gates went on starting tasks while the event loop was shut down: 'New
        tasks created during shutdown'.
        """
        with make_cluster() as cluster, ThreadPoolExecutor(2) as threads:
            wait_for_answers(cluster)
            peer = Peer(cluster)
            stopped = Event()
            threads.submit(peer.receive)
            threads.submit(peer.forward, BURST_INTERVAL_S, stopped)
            time.sleep(SENDING_S)
            cluster.send_signal(ENTRY, signal.SIGTERM)
            time.sleep(SENDING_S)
            try:
                exit_code = self._stop(cluster)
            finally:
                stopped.set()
                cluster.kill(ENTRY)
        self.assertThat(exit_code, Equals(0))

    def test_second_signal_beside_new_connections(self) -> None:
        """A second signal ends the process with 0 while callers connect.

        A connection that is accepted then starts a task: 'New tasks created
        during shutdown'.
        """
        with (
            make_cluster() as cluster,
            ThreadPoolExecutor(CONNECTOR_COUNT) as threads,
            ExitStack() as open_connections,
        ):
            wait_for_answers(cluster)
            address = (cluster.entry_host(0), CALLER_PORT)
            for _ in range(OPEN_CONNECTION_COUNT):
                open_connections.enter_context(
                    socket.create_connection(address)
                )
            cluster.send_signal(ENTRY, signal.SIGTERM)
            for _ in range(CONNECTOR_COUNT):
                threads.submit(connect_until_gone, cluster)
            time.sleep(SENDING_S)
            try:
                exit_code = self._stop(cluster)
            finally:
                cluster.kill(ENTRY)
        self.assertThat(exit_code, Equals(0))

    def test_hangup(self) -> None:
        """SIGHUP does not end the process with the queries in it (LOST)."""
        with make_cluster() as cluster:
            wait_for_answers(cluster)
            with ThreadPoolExecutor(1) as callers:
                answer = callers.submit(send_query, cluster)
                time.sleep(SENDING_S)
                cluster.send_signal(ENTRY, signal.SIGHUP)
            self.assertThat(answer.exception(), Equals(None))
            self.assertThat(answer.result()[0], Equals(HTTPStatus.OK))
            self.assertThat(cluster.terminate(ENTRY), Equals(0))

    def test_answers_that_are_not_read(self) -> None:
        """A caller that reads no answers does not hold up a stop.

        The servers were not handed over before the process was killed.
        """
        with make_cluster() as cluster:
            with send_and_read_nothing(cluster):
                exit_code = self._stop(cluster)
                events = [
                    record['event'] for record in cluster.log_records(ENTRY)
                ]
        self.assertThat(exit_code, Equals(0))
        self.assertThat(events[-1], Equals('left'))

    def _stop(self, cluster: Cluster) -> int:
        """Stop the daemon in the time it is given; return its exit code."""
        process = cluster.processes[ENTRY]
        process.terminate()
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            self.fail(str(error))
