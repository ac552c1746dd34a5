"""Tests of a planned stop of an entry daemon, in processes of their own."""

from __future__ import annotations

import signal
import time
from concurrent.futures import Future, ThreadPoolExecutor
from http import HTTPStatus

from testtools import TestCase
from testtools.matchers import Equals

from bench.cluster import Cluster, ClusterConfig, JsonObject, call

SERVICE_TIME_MS = 900.0
QUERY = {'service': 'rota-search', 'deadline_ms': 1900}
# For a request to reach its server.
SENDING_S = 0.3
START_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 15.0
SIGNAL_INTERVAL_S = 0.001
ENTRY = 'entry0'

Answer = tuple[int, JsonObject]


def make_cluster(*, slots: int = 4) -> Cluster:
    """Return a cluster of one entry daemon and one slow server."""
    config = ClusterConfig(
        entry_vms=1,
        ranges=1,
        replicas=1,
        service_ms=SERVICE_TIME_MS,
        slots=slots,
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
