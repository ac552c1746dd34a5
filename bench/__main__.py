"""``make bench``: latency, coverage and extra load against stand-ins.

Each case starts a cluster of its own. Prints a table with one row for each
case and writes each row as a JSON object to a file in ``bench/out/``.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import curio
import msgspec

from bench.cluster import Cluster, ClusterConfig
from bench.load import (
    CaseResult,
    LoadGenerator,
    count_server_requests,
    entry_cpu_seconds,
    summarize,
)

_OUTPUT_FOLDER = Path('bench/out')
_MAXIMUM_WARM_UP_QUERIES = 300
_QUERIES_PER_S = 20.0
_QUERY_COUNT = 600

Fault = Callable[[Cluster], None]


@dataclass(frozen=True, slots=True)
class Case:
    """A cluster, a fault and a load to measure.

    Parameters:
        fault: injected between warm-up and measurement; None for no fault.
        queries_per_s: rate of the queries, also during the warm-up.
        queries: number of measured queries.
    """

    name: str
    config: ClusterConfig
    fault: Fault | None = None
    queries_per_s: float = _QUERIES_PER_S
    queries: int = _QUERY_COUNT


def _no_fault(cluster: Cluster) -> None:
    """Do nothing."""


def freeze_server(cluster: Cluster) -> None:
    """Suspend the process of one backend server with SIGSTOP."""
    cluster.send_signal('server0.0', signal.SIGSTOP)


def with_policies(
    config: ClusterConfig,
    choice: str,
    hedge: str,
) -> ClusterConfig:
    """Return a configuration with other routing policies.

    Parameters:
        choice: policy of replica choice, as in ``RoutingSettings``.
        hedge: policy of hedging, as in ``RoutingSettings``.
    """
    settings = {'routing': {'choice': choice, 'hedge': hedge}}
    return replace(config, entry_settings=settings)


BASE = ClusterConfig(entry_vms=3, server_processes=4)
ONE_PERCENT_SLOW = replace(BASE, slow_share=0.01)
THREE_PERCENT_SLOW = replace(BASE, slow_share=0.03)
SEPARATE_SERVERS = replace(BASE, server_processes=0, ranges=10)
MANY_RANGES = ClusterConfig(
    entry_vms=3,
    ranges=300,
    server_processes=6,
    service_ms=3.0,
)

CASES = (
    Case(
        '1% slow: random, no hedge',
        with_policies(ONE_PERCENT_SLOW, 'random', 'none'),
    ),
    Case(
        '1% slow: least outstanding, no hedge',
        with_policies(ONE_PERCENT_SLOW, 'outstanding', 'none'),
    ),
    Case(
        '1% slow: latency, no hedge',
        with_policies(ONE_PERCENT_SLOW, 'latency', 'none'),
    ),
    Case(
        '1% slow: random, estimated',
        with_policies(ONE_PERCENT_SLOW, 'random', 'estimated'),
    ),
    Case(
        '1% slow: latency, fixed 30 ms',
        with_policies(ONE_PERCENT_SLOW, 'latency', 'fixed'),
    ),
    Case('1% slow: default', ONE_PERCENT_SLOW),
    Case(
        '3% slow: random, no hedge',
        with_policies(THREE_PERCENT_SLOW, 'random', 'none'),
    ),
    Case('3% slow: default', THREE_PERCENT_SLOW),
    Case(
        'one server frozen: random, no hedge',
        with_policies(SEPARATE_SERVERS, 'random', 'none'),
        freeze_server,
    ),
    Case('one server frozen: default', SEPARATE_SERVERS, freeze_server),
    Case('300 ranges: default', MANY_RANGES, queries_per_s=1, queries=60),
)


def measure(case: Case) -> CaseResult:
    """Start the cluster of a case, warm it up and measure it.

    The warm-up takes 15 s or ``_MAXIMUM_WARM_UP_QUERIES``, whichever ends
    first.

    The servers' counts of sub-requests are read only without a fault, so
    ``extra_share`` of a case with a fault is -1.
    """
    with Cluster(case.config) as cluster:
        targets = [
            cluster.entry_address(index)
            for index in range(case.config.entry_vms)
        ]
        warm_up_queries = min(
            _MAXIMUM_WARM_UP_QUERIES,
            int(case.queries_per_s * 15),
        )
        curio.run(
            LoadGenerator(
                cluster,
                case.queries_per_s,
                warm_up_queries,
                targets,
            ).run,
        )
        (case.fault or _no_fault)(cluster)
        sub_requests = 0 if case.fault else count_server_requests(cluster)
        cpu_s = entry_cpu_seconds(cluster)
        load = LoadGenerator(
            cluster,
            case.queries_per_s,
            case.queries,
            targets,
        )
        curio.run(load.run)
        cpu_s = entry_cpu_seconds(cluster) - cpu_s
        if not case.fault:
            sub_requests = count_server_requests(cluster) - sub_requests
        return summarize(case.name, load, sub_requests, cpu_s)


def main(filters: list[str]) -> None:
    """Measure the cases and print their results.

    Parameters:
        filters: texts of which a case's name contains at least one; all
            cases are measured if there is none.
    """
    _OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    print(
        f'{_QUERY_COUNT} queries at {_QUERIES_PER_S:g} per second unless the '
        'case sets others; server seed: 10 * range index + replica index',
    )
    print(' | '.join(CaseResult.__struct_fields__))
    for index, case in enumerate(CASES):
        if filters and not any(text in case.name for text in filters):
            continue
        row = measure(case)
        print(' | '.join(map(str, msgspec.structs.astuple(row))), flush=True)
        (_OUTPUT_FOLDER / f'row{index}.json').write_bytes(
            msgspec.json.encode(row),
        )


if __name__ == '__main__':
    main(sys.argv[1:])
