"""Open-loop load on a cluster, and what came of it."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

import curio
import msgspec

from bench.cluster import Cluster, call
from daisydyke._adapters._http_client import HttpConnection, HttpRequest
from daisydyke._queries._callers import AnswerBody
from daisydyke._settings._documents import parse_address
from daisydyke.exceptions import DaisydykeError

_DEADLINE_MS = 250
_CALLER_TIMEOUT_S = 2.0
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PER_MILLE = 1000


@dataclass(slots=True)
class Sample:
    """One query as its caller saw it.

    Parameters:
        status: HTTP status; 0 if no whole response came.
        wrong: whether rows were of another snapshot, range or request.
    """

    at: float
    ms: float
    status: int
    share: float = 0
    wrong: bool = False


@dataclass(slots=True)
class Load:
    """A run of queries at a fixed rate.

    Parameters:
        rate: queries a second, sent whether or not earlier ones are back.
        targets: entry VMs to send to, in turn.
    """

    cluster: Cluster
    rate: float
    count: int
    targets: list[str]
    samples: list[Sample] = field(default_factory=list)
    _idle: dict[str, list[HttpConnection]] = field(default_factory=dict)

    async def run(self) -> None:
        """Send all queries and wait for their ends."""
        started = await curio.clock()
        async with curio.TaskGroup() as group:
            for number in range(self.count):
                due = started + number / self.rate
                pause = due - await curio.clock()
                if pause > 0:
                    await curio.sleep(pause)
                target = self.targets[number % len(self.targets)]
                await group.spawn(self._send(target, number, due - started))
        for connections in self._idle.values():
            for connection in connections:
                await connection.close()

    async def _send(self, target: str, number: int, at: float) -> None:
        pool = self._idle.setdefault(target, [])
        address = parse_address(target)
        connection = pool.pop() if pool else HttpConnection(address)
        request_id = f'load-{number}'
        started = await curio.clock()
        request = HttpRequest(
            'POST',
            '/v1/query',
            b'{"service":"rota-search","deadline_ms":%d}' % _DEADLINE_MS,
            {'x-request-id': request_id},
        )
        try:
            async with curio.timeout_after(_CALLER_TIMEOUT_S):
                response = await connection.request(request)
        except (DaisydykeError, curio.TaskTimeout):
            await connection.close()
            self.samples.append(Sample(at, _CALLER_TIMEOUT_S * 1000, 0))
            return
        ms = (await curio.clock() - started) * 1000
        pool.append(connection)
        sample = Sample(at, ms, response.status)
        if response.status == 200:
            self._check(sample, request_id, response.body)
        self.samples.append(sample)

    def _check(self, sample: Sample, request_id: str, body: bytes) -> None:
        answer = msgspec.json.decode(body, type=AnswerBody)
        sample.share = answer.coverage.share
        keys: list[int] = []
        snapshots = set()
        for rows in answer.rows:
            for row in msgspec.json.decode(rows):
                keys.append(row['key'])
                snapshots.add(row['snapshot'])
        covered = sum(1 for _ in answer.rows)
        sample.wrong = (
            answer.request_id != request_id
            or len(set(keys)) != len(keys)
            or bool(snapshots - {answer.snapshot})
            or covered != answer.coverage.ranges_answered
        )


class Row(msgspec.Struct):
    """One line of a table of measurements.

    Parameters:
        extra_share: sub-requests that reached servers beyond one a range, as
            a share of those; judged by the servers' own counts.
        cpu_ms: processor time of all entry VMs for one sub-request.
    """

    name: str
    queries: int
    answered: int
    p50_ms: float
    p99_ms: float
    full_per_mille: float
    least_share: float
    extra_share: float
    wrong: int
    cpu_ms: float


def percentile(samples: list[float], share: float) -> float:
    """Return a quantile of samples by the nearest rank."""
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def server_requests(cluster: Cluster) -> int:
    """Return the sub-requests that all servers have run."""
    shape = cluster.shape
    total = 0
    for position in range(shape.ranges):
        for replica in range(shape.replicas):
            address = cluster.server_address(position, replica)
            try:
                total += call(address, 'GET', '/stats')[1]['requests']
            except OSError:
                pass  # noqa: WPS420
    return total


def cpu_seconds(cluster: Cluster) -> float:
    """Return the processor time that the entry VMs have used."""
    total: float = 0
    for name, process in cluster.processes.items():
        if name.startswith('entry'):
            total += process_cpu_seconds(process.pid)
    return total


def process_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
        fields = stat.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def summarize(
    name: str,
    load: Load,
    requests: int,
    cpu: float,
) -> Row:
    """Return the row of a run.

    Parameters:
        requests: sub-requests that the servers ran meanwhile.
        cpu: processor time in seconds that the entry VMs used meanwhile.
    """
    samples = load.samples
    answered = [one for one in samples if one.status == 200]
    times = [one.ms for one in samples]
    ranges = load.cluster.shape.ranges
    first = ranges * len(samples)
    full = sum(one.share == 1 for one in answered)
    return Row(
        name,
        len(samples),
        len(answered),
        round(percentile(times, 0.5), 1),
        round(percentile(times, 0.99), 1),
        round(full / len(samples) * _PER_MILLE, 1),
        round(min((one.share for one in answered), default=0), 4),
        round(requests / first - 1, 4),
        sum(one.wrong for one in samples),
        round(cpu * 1000 / first, 3),
    )
