"""The gateway daemon: serves callers by the routes of the platform's store."""

from __future__ import annotations

import gc
import signal
from functools import partial
from pathlib import Path

import click
import curio
from returns.result import Success

from .._adapters._signals import SignalStream
from .._domain._model import Address
from .._members._seeds import Seeds
from .._members._speed import has_enough_faster
from .._ports import VmRecord
from ..platform._settings import NodeSettings, load_node_settings
from ._gateway_wiring import Gateway
from ._settings_option import check_settings_option, unwrap_settings
from ._tasks import Run, supervise

_SETTINGS_VARIABLE = 'DAISYDYKE_NODE_FILE'
METRICS_PORT = 9464
_JOIN_POLL_S = 0.05
_STAND_BY_POLL_S = 0.25
# Time in which VMs that start together come to know each other.
_FIRST_START_S = 2.0
_MEET_S = 1.0
_EXIT_MARGIN_S = 0.4
# Part of the grace time in which callers still reach the VM that leaves.
_LINGER_PART = 0.55
_GC_THRESHOLD = 20000


@click.command()
@click.argument(
    'settings_file',
    type=click.Path(path_type=Path),
    envvar=_SETTINGS_VARIABLE,
)
@check_settings_option
def main(settings_file: Path, check_only: bool) -> None:  # noqa: FBT001
    """Run a gateway daemon with the settings in SETTINGS_FILE."""
    loaded = load_node_settings(settings_file)
    settings = unwrap_settings(loaded, settings_file, check_only=check_only)
    curio.run(run_gateway, settings, settings_file)


async def run_gateway(settings: NodeSettings, path: Path) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully."""
    gateway = Gateway(settings)
    gateway.log.record('start', domain=settings.domain)
    signals = SignalStream(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    await start(gateway)
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    while await signals.next() is signal.SIGHUP:
        _reload(gateway, path)
    await leave(gateway)


def _reload(gateway: Gateway, path: Path) -> None:
    loaded = load_node_settings(path)
    if isinstance(loaded, Success):
        changed = loaded.unwrap() != gateway.settings
        gateway.log.record('reload', changed=changed)
    else:
        gateway.log.record('reload_failed', error=str(loaded.failure()))


async def start(gateway: Gateway) -> None:
    """Listen on all ports and start the tasks that run until the end."""
    settings = gateway.settings
    await gateway.readiness.start(settings.readiness)
    await gateway.directory.start(settings.directory)
    await gateway.callers.start(settings.callers)
    await gateway.copies.start(settings.peers)
    await gateway.scrapes.start(
        Address(settings.gossip.host, METRICS_PORT),
    )
    runs: tuple[Run, ...] = (
        gateway.servers.run_removals,
        partial(gateway.pool.run, gateway.registry.all),
        gateway.membership.run_receiver,
        gateway.membership.run_probes,
        partial(_meet_others, gateway),
        partial(_join, gateway),
    )
    for run in runs:
        await _spawn(gateway, run)


async def _spawn(gateway: Gateway, run: Run) -> None:
    report = partial(_report_failure, gateway)
    await curio.spawn(supervise(run, report), daemon=True)


def _report_failure(gateway: Gateway, error: Exception) -> None:
    kind = type(error).__name__
    gateway.log.record('task_failed', error=f'{kind}: {error}')


async def _join(gateway: Gateway) -> None:
    """Take requests once that is wanted and possible."""
    await _stand_by(gateway)
    await _spawn(gateway, gateway.relay.run)
    for mirror in gateway.mirrors:
        await _spawn(gateway, mirror.run)
    while not gateway.is_informed():
        await curio.sleep(_JOIN_POLL_S)
    await gateway.membership.join()
    gateway.log.record('ready')
    await curio.Event().wait()


async def _meet_others(gateway: Gateway) -> None:
    """Register, and ping the VMs that have registered.

    Requests are taken without waiting for it: writes to the store may fail
    for longer than reads.
    """
    await _register(gateway)
    await Seeds(gateway.membership, gateway.store).run()


async def _register(gateway: Gateway) -> None:
    settings = gateway.settings
    record = VmRecord(
        settings.vm,
        settings.gossip.host,
        leaving=False,
        speed=settings.speed,
    )
    registered = await gateway.store.register_vm(record)
    while not isinstance(registered, Success):
        gateway.log.record('register_failed', error=str(registered.failure()))
        await gateway.health.failed(registered.failure())
        registered = await gateway.store.register_vm(record)
    gateway.health.succeeded()


async def _stand_by(gateway: Gateway) -> None:
    """Wait while enough faster VMs take the requests."""
    settings = gateway.settings
    listed = await gateway.store.list_vms()
    speeds = [record.speed for record in listed.value_or(())]
    if settings.first_start:
        await curio.sleep(_FIRST_START_S)
    elif has_enough_faster(settings.speed, speeds):
        # Time for the faster ones to answer the first datagrams.
        await curio.sleep(_MEET_S)
    if gateway.book.is_wanted():
        return
    gateway.membership.standing_by = True
    gateway.log.record('standing_by', speed=settings.speed)
    while not gateway.book.is_wanted():
        await curio.sleep(_STAND_BY_POLL_S)


async def leave(gateway: Gateway) -> None:
    """Leave the directory, serve those who still come, then drain."""
    grace = gateway.settings.grace
    gateway.log.record('leaving')
    gateway.membership.leave()
    gateway.callers.stop_keep_alive()
    await curio.sleep(grace * _LINGER_PART)
    remaining = grace * (1 - _LINGER_PART) - _EXIT_MARGIN_S
    await curio.ignore_after(remaining, gateway.callers.drain())
    gateway.log.record('stop', unfinished=gateway.callers.requests_in_progress)
