"""``make slopes``: cost of an entry VM by cluster size.

Each size starts a cluster without callers and measures its entry daemons:
CPU time, resident memory, bytes over the loopback interface, calls to the
platform. Prints linear fits with their values at the target size.
"""

from __future__ import annotations

import statistics
import time
from dataclasses import replace
from pathlib import Path

import msgspec

from bench.cluster import Cluster, ClusterConfig, call
from bench.load import process_cpu_seconds

_OUTPUT_FOLDER = Path('bench/out')
_SETTLING_TIME_S = 6.0
_MEASURED_TIME_S = 15.0
_KIB_PER_MIB = 1024
_TARGET_NODES = 660
_TARGET_SERVERS_PER_NODE = 3100 / _TARGET_NODES
_BASE_CONFIG = ClusterConfig(ranges=6, server_processes=2)
_CONFIGS = (
    replace(_BASE_CONFIG, entry_vms=3),
    replace(_BASE_CONFIG, entry_vms=6),
    replace(_BASE_CONFIG, entry_vms=12),
    replace(_BASE_CONFIG, entry_vms=18),
    replace(_BASE_CONFIG, entry_vms=3, ranges=18),
    replace(_BASE_CONFIG, entry_vms=3, ranges=36),
)


class Cost(msgspec.Struct):
    """Cost of an entry daemon in a cluster without callers.

    Parameters:
        nodes: number of entry VMs.
        servers_each: backend servers for each entry VM.
        cpu_percent: CPU time of a daemon as a percentage of one core.
        memory_mb: mean resident memory of a daemon in MiB.
        bytes_s: bytes per second on the loopback interface for each entry VM,
            with the state responses of the servers.
        reads_s: read calls of all entry VMs to the platform per second.
        writes_s: write calls, counted likewise.
        watches_s: watch calls, counted likewise.
    """

    nodes: int
    servers_each: float
    cpu_percent: float
    memory_mb: float
    bytes_s: float
    reads_s: float
    writes_s: float
    watches_s: float


class Fit(msgspec.Struct):
    """A line fitted to measurements, and its value at the target size.

    Parameters:
        of: fitted field of ``Cost``.
        by: field of ``Cost`` that it depends on.
    """

    of: str
    by: str
    slope: float
    intercept: float
    at_target: float


def measure(config: ClusterConfig) -> Cost:
    """Start a cluster and measure its entry daemons without load."""
    with Cluster(config) as cluster:
        time.sleep(_SETTLING_TIME_S)
        pids = [
            process.pid
            for name, process in cluster.processes.items()
            if name.startswith('entry')
        ]
        calls_before = call(cluster.platform_address, 'GET', '/calls')[1]
        loopback_bytes = _loopback_bytes()
        cpu_s = sum(map(process_cpu_seconds, pids))
        time.sleep(_MEASURED_TIME_S)
        cpu_s = sum(map(process_cpu_seconds, pids)) - cpu_s
        loopback_bytes = _loopback_bytes() - loopback_bytes
        calls_after = call(cluster.platform_address, 'GET', '/calls')[1]
        memory_mb = statistics.mean(map(_resident_mb, pids))
    nodes = config.entry_vms
    return Cost(
        nodes,
        config.ranges * config.replicas / nodes,
        round(cpu_s / nodes / _MEASURED_TIME_S * 100, 3),
        round(memory_mb, 1),
        round(loopback_bytes / nodes / _MEASURED_TIME_S),
        *(
            round(
                (calls_after[kind] - calls_before[kind]) / _MEASURED_TIME_S, 2
            )
            for kind in ('reads', 'writes', 'watches')
        ),
    )


def fit(
    costs: list[Cost],
    cost_field: str,
    size_field: str,
    target_size: float,
) -> Fit:
    """Fit a line to measurements.

    Parameters:
        cost_field: field of ``Cost`` to fit.
        size_field: field of ``Cost`` that it depends on.
        target_size: value of ``size_field`` at which to evaluate the line.
    """
    line = statistics.linear_regression(
        [getattr(cost, size_field) for cost in costs],
        [getattr(cost, cost_field) for cost in costs],
    )
    return Fit(
        cost_field,
        size_field,
        round(line.slope, 5),
        round(line.intercept, 3),
        round(line.slope * target_size + line.intercept, 2),
    )


def fit_all(costs: list[Cost]) -> list[Fit]:
    """Fit all costs by size.

    CPU time, memory and traffic are fitted by servers for each node, and what
    the servers do not account for is fitted by nodes. Calls to the platform
    are fitted by nodes alone.
    """
    costs_by_servers = [
        cost for cost in costs if cost.nodes == _BASE_CONFIG.entry_vms
    ]
    # The first configuration is part of both series.
    costs_by_nodes = [
        cost for cost in costs if cost not in costs_by_servers[1:]
    ]
    fits = []
    for cost_field in ('cpu_percent', 'memory_mb', 'bytes_s'):
        server_fit = fit(
            costs_by_servers,
            cost_field,
            'servers_each',
            _TARGET_SERVERS_PER_NODE,
        )
        remainders = [
            _without_servers(cost, cost_field, server_fit.slope)
            for cost in costs_by_nodes
        ]
        node_fit = fit(remainders, cost_field, 'nodes', _TARGET_NODES)
        # The value at the target size includes the cost of owned servers.
        node_fit.at_target += round(
            server_fit.slope * _TARGET_SERVERS_PER_NODE,
            2,
        )
        fits.extend((server_fit, node_fit))
    fits.extend(
        fit(costs_by_nodes, call_field, 'nodes', _TARGET_NODES)
        for call_field in ('reads_s', 'writes_s', 'watches_s')
    )
    return fits


def _without_servers(cost: Cost, cost_field: str, slope: float) -> Cost:
    """Return a cost without the part that its owned servers cause.

    Parameters:
        cost_field: field of ``Cost`` to reduce.
        slope: cost of each owned server.
    """
    remainder = getattr(cost, cost_field) - slope * cost.servers_each
    return msgspec.structs.replace(cost, **{cost_field: remainder})


def _resident_mb(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / _KIB_PER_MIB
    return 0


def _loopback_bytes() -> int:
    for line in Path('/proc/net/dev').read_text().splitlines():
        name, _, counters = line.partition(':')
        if name.strip() == 'lo':
            return int(counters.split()[0])
    return 0


def main() -> None:
    """Measure all sizes and print the fits."""
    _OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    costs = []
    print(' | '.join(Cost.__struct_fields__))
    for config in _CONFIGS:
        cost = measure(config)
        costs.append(cost)
        print(' | '.join(map(str, msgspec.structs.astuple(cost))), flush=True)
    fits = fit_all(costs)
    for fitted in fits:
        print(msgspec.json.encode(fitted).decode())
    text = msgspec.json.encode({'costs': costs, 'fits': fits})
    (_OUTPUT_FOLDER / 'slopes.json').write_bytes(text)


if __name__ == '__main__':
    main()
