"""``make faults``: faults on separate processes under load.

Prints for each fault what callers saw and what the servers counted. Exits
with 1 if an answer was wrong, a commit ran twice, a limit was exceeded, or a
planned stop cut a request off.
"""

from __future__ import annotations

import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import curio
import msgspec

from bench.cluster import DOMAINS, Cluster, Shape, call
from daisydyke._adapters._http_client import (
    HttpConnection,
    HttpRequest,
    HttpResponse,
)
from daisydyke._queries._callers import AddressesBody, AnswerBody
from daisydyke._settings._documents import parse_address
from daisydyke.exceptions import DaisydykeError

_QUERIES_PER_S = 20
_COMMITS_PER_S = 4
_FAULT_AT_S = 3.0
_TIMEOUT_S = 3.0
_SHAPE = Shape(entries=4, ranges=6, session_ttl_s=4.0)


class Count(msgspec.Struct):
    """What came of the requests of one fault run."""

    sent: int = 0
    answered: int = 0
    full: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    no_connection: int = 0
    cut_off: int = 0


@dataclass(slots=True)
class Caller:
    """Uses address answers as the interface says and counts outcomes.

    Parameters:
        committed: idempotency keys of commits by stated outcome.
    """

    cluster: Cluster
    count: Count = field(default_factory=Count)
    committed: dict[str, str] = field(default_factory=dict)
    _addresses: list[str] = field(default_factory=list)
    _prefix: str = ''

    async def run(self, seconds: float) -> None:
        """Send queries and commits at their rates."""
        await self._refresh()
        async with curio.TaskGroup() as group:
            await group.spawn(self._refresh_often(seconds))
            for number in range(int(seconds * _QUERIES_PER_S)):
                await group.spawn(self._query(f'q{number}'))
                if number % (_QUERIES_PER_S // _COMMITS_PER_S) == 0:
                    await group.spawn(self._commit(number))
                await curio.sleep(1 / _QUERIES_PER_S)

    async def _refresh_often(self, seconds: float) -> None:
        end = await curio.clock() + seconds
        while await curio.clock() < end:
            await curio.sleep(1)
            await self._refresh()

    async def _refresh(self) -> None:
        shape = self.cluster.shape
        known = self._addresses or [
            self.cluster.entry_address(index) for index in range(shape.entries)
        ]
        for address in (*known, self.cluster.entry_address(0)):
            response = await self._exchange(
                address,
                HttpRequest('GET', '/v1/addresses?domain=north'),
            )
            if response is not None:
                body = msgspec.json.decode(response.body, type=AddressesBody)
                self._addresses = [one.address for one in body.addresses]
                if body.idempotency_prefix:
                    self._prefix = body.idempotency_prefix
                    return

    async def _exchange(
        self,
        address: str,
        request: HttpRequest,
    ) -> HttpResponse | None:
        connection = HttpConnection(parse_address(address))
        try:
            async with curio.timeout_after(_TIMEOUT_S):
                return await connection.request(request)
        except (DaisydykeError, curio.TaskTimeout):
            if request.method == 'POST' and connection.sent:
                self.count.cut_off += 1
            return None
        finally:
            await connection.close()

    async def _query(self, request_id: str) -> None:
        self.count.sent += 1
        response = await self._try_addresses(
            HttpRequest(
                'POST',
                '/v1/query',
                b'{"service":"rota-search","deadline_ms":250}',
                {'x-request-id': request_id},
            ),
        )
        if response is None:
            return
        if response.status != 200:
            self.count.not_run += 1
            return
        self.count.answered += 1
        answer = msgspec.json.decode(response.body, type=AnswerBody)
        self.count.full += answer.coverage.share == 1
        keys = [
            row['key']
            for rows in answer.rows
            for row in msgspec.json.decode(rows)
        ]
        wrong = (
            answer.request_id != request_id
            or len(set(keys)) != answer.coverage.ranges_answered
        )
        self.count.wrong += wrong

    async def _commit(self, number: int) -> None:
        key = f'{self._prefix}{number}'
        self.count.sent += 1
        outcome = ''
        # The caller's own retries, through whichever entry VM answers.
        for attempt in range(3):
            response = await self._try_addresses(
                HttpRequest(
                    'POST',
                    '/v1/commit',
                    b'{"service":"rota-search","key":3,"deadline_ms":250}',
                    {'idempotency-key': key},
                ),
                attempt,
            )
            if response is not None:
                outcome = msgspec.json.decode(response.body)['outcome']
                break
        self.committed[key] = outcome
        self.count.answered += outcome == 'answered'
        self.count.full += outcome == 'answered'
        self.count.not_run += outcome == 'not_run'
        self.count.unknown += outcome in {'unknown', ''}

    async def _try_addresses(
        self,
        request: HttpRequest,
        first: int = 0,
    ) -> HttpResponse | None:
        addresses = list(self._addresses)
        for address in addresses[first:] + addresses[:first]:
            cut_off = self.count.cut_off
            response = await self._exchange(address, request)
            if response is not None:
                return response
            if self.count.cut_off > cut_off:
                return None
        self.count.no_connection += 1
        return None


def kill_server(cluster: Cluster) -> None:
    """Kill one backend server."""
    cluster.kill('server0.0')


def kill_entry(cluster: Cluster) -> None:
    """Kill one entry VM's daemon."""
    cluster.kill('entry0')


def kill_domain(cluster: Cluster) -> None:
    """Kill all processes of one failure domain."""
    shape = cluster.shape
    for index in range(shape.entries):
        if DOMAINS[index % len(DOMAINS)] == 'north':
            cluster.kill(f'entry{index}')
    for position in range(shape.ranges):
        for replica in range(shape.replicas):
            if cluster.server_domain(position, replica) == 'north':
                cluster.kill(f'server{position}.{replica}')


def pause_entry(cluster: Cluster) -> None:
    """Stop one entry VM past its lease, then let it go on."""
    cluster.signal('entry0', signal.SIGSTOP)
    time.sleep(12)
    cluster.signal('entry0', signal.SIGCONT)


def freeze_server(cluster: Cluster) -> None:
    """Stop one backend server for good."""
    cluster.signal('server0.0', signal.SIGSTOP)


def platform_fault(mode: str) -> Callable[[Cluster], None]:
    """Return a fault that sets a mode of the platform for 10 s."""

    return partial(_set_platform, mode)


def _set_platform(mode: str, cluster: Cluster) -> None:
    body = {'mode': mode, 'delay_ms': 1500 if mode == 'slow' else 0}
    call(cluster.platform, 'PUT', '/control', body)
    time.sleep(10)
    call(cluster.platform, 'PUT', '/control', {'mode': 'up'})


def domain_out_and_in(cluster: Cluster) -> None:
    """Take a failure domain out, and back in after 8 s."""
    target = '/v1/objects/switch/domain-north'
    version = call(cluster.platform, 'PUT', target, {'state': 'out'})[1]
    time.sleep(3)
    before = domain_requests(cluster)
    time.sleep(5)
    after = domain_requests(cluster)
    if after != before:
        raise AssertionError(f'{after - before} requests to a domain out')
    headers = {'if-match': str(version['version'])}
    call(cluster.platform, 'PUT', target, {'state': 'in'}, headers)


def domain_requests(cluster: Cluster) -> int:
    """Return what the servers of the domain north have run."""
    return sum(
        server_stats(cluster, position, replica)['requests']
        for position in range(cluster.shape.ranges)
        for replica in range(cluster.shape.replicas)
        if cluster.server_domain(position, replica) == 'north'
    )


def rolling_restart(cluster: Cluster) -> None:
    """Restart every entry VM's daemon in turn, gracefully."""
    for index in range(cluster.shape.entries):
        code = cluster.terminate(f'entry{index}')
        if code:
            raise AssertionError(f'entry{index} exited with {code}')
        cluster.start_entry(index)
        time.sleep(4)


def no_fault(cluster: Cluster) -> None:
    """Change nothing."""


@dataclass(frozen=True, slots=True)
class Case:
    """A fault and how long to load the system.

    Parameters:
        planned: whether no request may be cut off.
    """

    name: str
    fault: Callable[[Cluster], None]
    seconds: float = 15.0
    planned: bool = False


CASES = (
    Case('none', no_fault, 8, planned=True),
    Case('kill -9 a server', kill_server),
    Case('SIGSTOP a server', freeze_server),
    Case('kill -9 an entry VM', kill_entry, 20),
    Case('kill -9 a domain', kill_domain, 20),
    Case('pause an entry VM past its lease', pause_entry, 25),
    Case('platform down for 10 s', platform_fault('down'), 18, planned=True),
    Case('platform slow for 10 s', platform_fault('slow'), 18, planned=True),
    Case('platform loses replies', platform_fault('lose'), 18, planned=True),
    Case('domain out and back', domain_out_and_in, 18, planned=True),
    Case('rolling restart', rolling_restart, 45, planned=True),
)


def server_stats(
    cluster: Cluster,
    position: int,
    replica: int,
) -> dict[str, object]:
    """Return what a server has counted; zeros if it does not answer."""
    address = cluster.server_address(position, replica)
    try:
        return call(address, 'GET', '/stats')[1]
    except OSError:
        return {'requests': 0, 'peak': 0, 'commits': {}}


def run_case(case: Case) -> bool:
    """Run a fault and print its row; tells whether it is as promised."""
    with Cluster(_SHAPE) as cluster:
        curio.run(Caller(cluster).run, 8)
        caller = Caller(cluster)
        errors: list[BaseException] = []
        thread = threading.Thread(
            target=_bring_about, args=(case, cluster, errors)
        )
        thread.start()
        curio.run(caller.run, case.seconds)
        thread.join()
        for process in cluster.processes.values():
            process.send_signal(signal.SIGCONT)
        stats = [
            server_stats(cluster, position, replica)
            for position in range(_SHAPE.ranges)
            for replica in range(_SHAPE.replicas)
        ]
    peak = max(one['peak'] for one in stats)
    runs: Counter[str] = Counter()
    for one in stats:
        runs.update(one['commits'])
    twice = sum(times > 1 for times in runs.values())
    lies = sum(
        outcome == 'not_run' and key in runs
        for key, outcome in caller.committed.items()
    )
    count = caller.count
    fields = ' '.join(
        f'{name}={number}'
        for name, number in msgspec.to_builtins(count).items()
    )
    broken = (
        count.wrong,
        twice,
        lies,
        peak > _SHAPE.slots,
        errors,
        case.planned and count.cut_off,
    )
    good = not any(broken)
    mark = 'ok' if good else 'FAILED'
    print(
        f'{mark}: {case.name}: {fields} twice={twice} lies={lies} '
        f'peak={peak}/{_SHAPE.slots} {errors or ""}',
        flush=True,
    )
    return good


def _bring_about(
    case: Case,
    cluster: Cluster,
    errors: list[BaseException],
) -> None:
    time.sleep(_FAULT_AT_S)
    try:
        case.fault(cluster)
    except Exception as error:
        errors.append(error)


def main(chosen: list[str]) -> int:
    """Run all faults, or those whose names contain an argument."""
    cases = [
        case
        for case in CASES
        if not chosen or any(word in case.name for word in chosen)
    ]
    results = [run_case(case) for case in cases]
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
