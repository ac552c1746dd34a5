"""Command that runs the soak for seeds: ``python -m soak --help``."""

from __future__ import annotations

import logging
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from pathlib import Path

import click
import curio

from daisydyke._adapters._http_client import HttpConnection, HttpRequest
from daisydyke._domain._model import Address
from daisydyke.exceptions import DaisydykeError
from soak._callers import Caller
from soak._customers import EXTRA_CREDENTIALS
from soak._faults import FaultInjector
from soak._hostile import press, watch_memory
from soak._layouts import LAYOUTS
from soak._operator import RolloutOperator
from soak._world import READY_PORT, SoakCluster

FAULT_PHASE_S = 12.0
READY_TIMEOUT_S = 15.0
RECOVERY_S = 6.0
MEASUREMENT_S = 2.0
_BUSY_NUMBERS = (100, 101, 102)
_REGRESSIONS_FILE = Path(__file__).parent / 'regressions.txt'


_SEED_OPTIONS = (
    click.option('--first', default=1, help='First seed.'),
    click.option('--count', default=1, help='Number of seeds.'),
    click.option(
        '--regressions', is_flag=True, help='Run the seeds in regressions.txt.'
    ),
)


def _seed_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that choose seeds to a command."""
    for option in _SEED_OPTIONS:
        command = option(command)
    return command


@click.command()
@_seed_options
@click.option(
    '--layout',
    type=click.Choice(list(LAYOUTS)),
    default='small',
    help='Size and load of the system; the large ones have planned work only.',
)
@click.option(
    '--source',
    type=click.Path(path_type=Path, exists=True),
    help='Folder of the package that the VMs run, to play an older version.',
)
@click.option(
    '--keep',
    type=click.Path(path_type=Path),
    help='Folder for the logs of seeds that fail.',
)
def main(
    first: int,
    count: int,
    regressions: bool,  # noqa: FBT001
    layout: str,
    source: Path | None,
    keep: Path | None,
) -> None:
    """Run seeds one after the other; exit with 1 if a check failed."""
    # curio logs each stand-in task that is cancelled while answering.
    logging.getLogger('curio').setLevel(logging.CRITICAL)
    seeds = list(range(first, first + count))
    if regressions:
        seeds = _regression_seeds()
    failed = []
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            cluster = SoakCluster(seed, Path(folder), LAYOUTS[layout], source)
            passed = _run_seed(cluster, keep)
        if not passed:
            failed.append(seed)
    passed = len(seeds) - len(failed)
    click.echo(f'{passed} passed, {len(failed)} failed')
    if failed:
        click.echo(f'seeds that failed: {failed}')
        sys.exit(1)


def _regression_seeds() -> list[int]:
    lines = _REGRESSIONS_FILE.read_text().splitlines()
    numbers = [line.partition(' ')[0] for line in lines]
    return [int(number) for number in numbers if number.isdecimal()]


def _run_seed(cluster: SoakCluster, keep: Path | None) -> bool:
    report = curio.run(_soak, cluster)
    click.echo(f'seed {cluster.seed}: {report}')
    for rule, times in Counter(cluster.violations).items():
        click.echo(f'  {times} x {rule}')
    if cluster.violations and keep is not None:
        _copy_logs(cluster, keep / str(cluster.seed))
    return not cluster.violations


def _copy_logs(cluster: SoakCluster, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    violations = '\n'.join(cluster.violations)
    (folder / 'violations.txt').write_text(f'{violations}\n')
    for vm in cluster.vms:
        (folder / vm.log_path.name).write_bytes(vm.log_path.read_bytes())


async def _soak(cluster: SoakCluster) -> str:
    seed = cluster.seed
    caller_count = cluster.layout.caller_count
    callers = [
        Caller(cluster, number, seed * caller_count + number)
        for number in range(caller_count)
    ]
    if cluster.layout.has_rollouts:
        # They let a version be judged.
        callers += [
            Caller(cluster, number, seed * caller_count + number, is_busy=True)
            for number in _BUSY_NUMBERS
        ]
    others = _extra_callers(cluster)
    injector = FaultInjector(cluster, seed)
    try:
        await _inject_faults(cluster, callers, others, injector)
    finally:
        await cluster.stop()
    not_run_ids = [caller.not_run_ids for caller in (*callers, *others)]
    cluster.check_runs(set().union(*not_run_ids))
    cluster.check_cuts()
    cluster.check_memory()
    sent, served = _totals(callers)
    injected = ', '.join(injector.injected)
    summary = f'{served} of {sent} served'
    if others:
        sent, served = _totals(others)
        summary = f'{summary}, of extra callers {served} of {sent}'
    if cluster.rollout is not None:
        summary = f'{summary}; {cluster.rollout.describe()}'
    if cluster.layout.has_hostile:
        peak_mb = max(vm.peak_mb for vm in cluster.vms)
        summary = f'{summary}; peak {peak_mb:.0f} MB'
    return f'{summary}; {injected}'


def _extra_callers(cluster: SoakCluster) -> list[Caller]:
    """Return callers whose requests are refused for the most part."""
    if not cluster.layout.has_keys:
        return []
    first = cluster.layout.caller_count
    return [
        Caller(cluster, number, cluster.seed * first + number, credential)
        for number, credential in enumerate(EXTRA_CREDENTIALS, start=first)
    ]


async def _inject_faults(
    cluster: SoakCluster,
    callers: list[Caller],
    others: list[Caller],
    injector: FaultInjector,
) -> None:
    await cluster.start()
    await _wait_until_ready(cluster)
    tasks = [caller.run for caller in (*callers, *others)]
    if cluster.layout.has_rollouts:
        tasks.append(RolloutOperator(cluster, cluster.seed).run)
    if cluster.layout.has_hostile:
        tasks += [partial(press, cluster), partial(watch_memory, cluster)]
    for task in tasks:
        await curio.spawn(task, daemon=True)
    await injector.run(FAULT_PHASE_S)
    await curio.sleep(RECOVERY_S)
    await _check_recovery(cluster, callers)
    cluster.check_running()
    if cluster.layout.planned_only:
        # Callers go on until the last process has gone.
        await injector.stop_all()


async def _check_recovery(cluster: SoakCluster, callers: list[Caller]) -> None:
    sent_before, served_before = _totals(callers)
    await curio.sleep(MEASUREMENT_S)
    sent, served = _totals(callers)
    share = (served - served_before) / max(1, sent - sent_before)
    if share < cluster.layout.min_served_share:
        cluster.report_violation(f'RECOVER: {share:.2f} served at the end')


def _totals(callers: list[Caller]) -> tuple[int, int]:
    sent = sum(caller.sent for caller in callers)
    return sent, sum(caller.served for caller in callers)


async def _wait_until_ready(cluster: SoakCluster) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    for vm in cluster.vms:
        while not await _is_ready(vm.host):
            if time.monotonic() > deadline:
                cluster.report_violation(f'{vm.name} is not ready')
                return
            await curio.sleep(0.1)


async def _is_ready(host: str) -> bool:
    connection = HttpConnection(Address(host, READY_PORT))
    try:
        response = await connection.request(HttpRequest('GET', '/-/ready'))
    except DaisydykeError:
        return False
    finally:
        await connection.close()
    return response.status == HTTPStatus.OK


if __name__ == '__main__':
    main()
