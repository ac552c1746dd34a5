"""Runs the soak for a range of seeds: ``python -m soak --help``."""

from __future__ import annotations

import logging
import sys
import tempfile
import time
from collections import Counter
from http import HTTPStatus
from pathlib import Path

import click
import curio

from daisydyke._adapters._http_client import HttpConnection, HttpRequest
from daisydyke._domain._model import Address
from daisydyke.exceptions import DaisydykeError
from soak._callers import Caller
from soak._faults import Faults
from soak._world import READY_PORT, World

CALLERS = 6
FAULTS_S = 12.0
READY_WITHIN_S = 15.0
RECOVERY_S = 6.0
MEASURED_S = 2.0
SERVED_AFTERWARDS = 0.95
_REGRESSIONS = Path(__file__).parent / 'regressions.txt'


@click.command()
@click.option('--first', default=1, help='First seed.')
@click.option('--count', default=1, help='Number of seeds.')
@click.option('--regressions', is_flag=True, help='Play seeds that failed.')
@click.option(
    '--keep',
    type=click.Path(path_type=Path),
    help='Folder for the logs of seeds that fail.',
)
def main(
    first: int,
    count: int,
    regressions: bool,  # noqa: FBT001
    keep: Path | None,
) -> None:
    """Play seeds one after the other; exit with 1 if a promise was broken."""
    # The stand-ins' tasks are cancelled while they answer.
    logging.getLogger('curio').setLevel(logging.CRITICAL)
    seeds = list(range(first, first + count))
    if regressions:
        seeds = _known_seeds()
    failed = []
    for seed in seeds:
        if not _play(seed, keep):
            failed.append(seed)
    passed = len(seeds) - len(failed)
    click.echo(f'{passed} passed, {len(failed)} failed')
    if failed:
        click.echo(f'seeds that failed: {failed}')
        sys.exit(1)


def _known_seeds() -> list[int]:
    lines = _REGRESSIONS.read_text().splitlines()
    numbers = [line.partition(' ')[0] for line in lines]
    return [int(number) for number in numbers if number.isdecimal()]


def _play(seed: int, keep: Path | None) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        world = World(seed, Path(folder))
        report = curio.run(_soak, world, seed)
        click.echo(f'seed {seed}: {report}')
        for rule, times in Counter(world.violations).items():
            click.echo(f'  {times} x {rule}')
        if world.violations and keep is not None:
            _keep_logs(world, keep / str(seed))
    return not world.violations


def _keep_logs(world: World, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for vm in world.vms:
        (folder / vm.log.name).write_bytes(vm.log.read_bytes())


async def _soak(world: World, seed: int) -> str:
    callers = [
        Caller(world, number, seed * CALLERS + number)
        for number in range(CALLERS)
    ]
    faults = Faults(world, seed)
    try:
        await _play_faults(world, callers, faults)
    finally:
        await world.stop()
    promised = [caller.promised for caller in callers]
    world.check_runs(set().union(*promised))
    sent, served = _totals(callers)
    done = ', '.join(faults.done)
    return f'{served} of {sent} served; {done}'


async def _play_faults(
    world: World,
    callers: list[Caller],
    faults: Faults,
) -> None:
    await world.start()
    await _wait_until_ready(world)
    for caller in callers:
        await curio.spawn(caller.run, daemon=True)
    await faults.run(FAULTS_S)
    await curio.sleep(RECOVERY_S)
    sent_before, served_before = _totals(callers)
    await curio.sleep(MEASURED_S)
    sent, served = _totals(callers)
    share = (served - served_before) / max(1, sent - sent_before)
    if share < SERVED_AFTERWARDS:
        world.violate(f'RECOVER: {share:.2f} served at the end')


def _totals(callers: list[Caller]) -> tuple[int, int]:
    sent = sum(caller.sent for caller in callers)
    return sent, sum(caller.served for caller in callers)


async def _wait_until_ready(world: World) -> None:
    deadline = time.monotonic() + READY_WITHIN_S
    for vm in world.vms:
        while not await _accepts(vm.host):
            if time.monotonic() > deadline:
                world.violate(f'{vm.name} is not ready')
                return
            await curio.sleep(0.1)


async def _accepts(host: str) -> bool:
    connection = HttpConnection(Address(host, READY_PORT))
    try:
        found = await connection.request(HttpRequest('GET', '/-/ready'))
    except DaisydykeError:
        return False
    finally:
        await connection.close()
    return found.status == HTTPStatus.OK


if __name__ == '__main__':
    main()
