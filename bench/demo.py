"""``make run``: queries against a small cluster, and one answer in full."""

from __future__ import annotations

import json
import time

from bench.cluster import Cluster, ClusterConfig, call

_QUERY_COUNT = 50
_WARM_UP_S = 6.0


def main() -> None:
    """Start a cluster, query it, print an answer and stop the cluster."""
    print('starting 1 platform, 40 backend servers, 3 entry VMs ...')
    with Cluster(ClusterConfig(server_processes=4)) as cluster:
        _run_queries(cluster)
    print('everything that was started has been stopped')


def _run_queries(cluster: Cluster) -> None:
    status, addresses = call(
        cluster.entry_address(0),
        'GET',
        '/v1/addresses?domain=north',
    )
    print(f'addresses ({status}):', json.dumps(addresses))
    entry_address = addresses['addresses'][0]['address']
    body = {'service': 'rota-search', 'deadline_ms': 250, 'detail': True}
    warm_up_end = time.monotonic() + _WARM_UP_S
    while time.monotonic() < warm_up_end:
        call(entry_address, 'POST', '/v1/query', body)
    latencies_ms = []
    for _ in range(_QUERY_COUNT):
        started_at = time.monotonic()
        status, answer = call(entry_address, 'POST', '/v1/query', body)
        latencies_ms.append((time.monotonic() - started_at) * 1000)
    latencies_ms.sort()
    print(
        f'{_QUERY_COUNT} queries, '
        f'median {latencies_ms[_QUERY_COUNT // 2]:.1f} ms',
    )
    print(f'one answer ({status}):', json.dumps(answer, indent=1)[:4000])
    vm = addresses['addresses'][0]['vm']
    records = [
        record
        for record in cluster.log_records(vm)
        if record.get('request_id') == answer['request_id']
    ]
    print(f'{len(records)} log records of this query; the first three:')
    for record in records[:3]:
        print(json.dumps(record))


if __name__ == '__main__':
    main()
