"""Gateway daemon, which serves callers by the routes in the store."""

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
from .._members._seeds import MemberDiscovery
from .._members._speed import has_enough_faster
from .._ports import VmRecord
from ..platform._settings import NodeSettings, load_node_settings
from ._exit import exit_at_once
from ._gateway_wiring import Gateway
from ._settings_option import check_settings_option, unwrap_settings
from ._tasks import TaskFunction

_SETTINGS_FILE_VARIABLE = 'DAISYDYKE_NODE_FILE'
METRICS_PORT = 9464
_JOIN_POLL_INTERVAL_S = 0.05
_STANDBY_POLL_INTERVAL_S = 0.25
# Lets VMs that start at the same time discover each other.
_FIRST_START_DISCOVERY_S = 2.0
_DISCOVERY_S = 1.0
# Remaining part of the grace period, in which the process exits.
_EXIT_MARGIN_S = 0.4
# Part of it in which the last answers are sent.
_LAST_ANSWERS_S = 0.3
# Part of it for the log of what is still unanswered then.
_CUT_S = 0.05
# Share of the grace period in which callers still reach a leaving VM.
_LINGER_SHARE = 0.55
_GC_ALLOCATION_THRESHOLD = 20000


@click.command()
@click.argument(
    'settings_file',
    type=click.Path(path_type=Path),
    envvar=_SETTINGS_FILE_VARIABLE,
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
    _keep_initial_objects()
    while await signals.next() is signal.SIGHUP:
        _log_settings_change(gateway, path)
    await leave(gateway)
    await gateway.close()
    exit_at_once()


def _keep_initial_objects() -> None:
    """Let the garbage collector pass over all that exists after the start."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_ALLOCATION_THRESHOLD)


def _log_settings_change(gateway: Gateway, path: Path) -> None:
    """Log whether the settings file has changed, without applying it."""
    loaded = load_node_settings(path)
    if isinstance(loaded, Success):
        changed = loaded.unwrap() != gateway.settings
        gateway.log.record('reload', changed=changed)
    else:
        gateway.log.record('reload_failed', error=str(loaded.failure()))


async def start(gateway: Gateway) -> None:
    """Listen on all ports and start the background tasks."""
    settings = gateway.settings
    await gateway.readiness_server.start(settings.readiness)
    await gateway.directory_server.start(settings.directory)
    await gateway.caller_server.start(settings.callers)
    await gateway.mirror_server.start(settings.peers)
    await gateway.metrics_server.start(
        Address(settings.gossip.host, METRICS_PORT),
    )
    task_functions: tuple[TaskFunction, ...] = (
        gateway.state.pause_guard.run,
        gateway.server_sink.run_removals,
        partial(gateway.pool.run, gateway.state.registry.all),
        gateway.membership.run_receiver,
        gateway.membership.run_probes,
        partial(_discover_members, gateway),
        partial(_join, gateway),
    )
    if gateway.reports is not None:
        task_functions += (
            gateway.reports.run_sender,
            gateway.reports.run_receiver,
        )
    if gateway.rollouts is not None:
        task_functions += (gateway.rollouts.decider.run,)
    for task_function in task_functions:
        await gateway.background.start(task_function)


async def _join(gateway: Gateway) -> None:
    """Join once this VM should serve requests and has its initial data.

    Waits forever afterwards, since ``supervise`` restarts a task that returns.
    """
    await _stand_by(gateway)
    for task_function in gateway.state.update_tasks:
        await gateway.background.start(task_function)
    while not gateway.state.has_initial_data():
        await curio.sleep(_JOIN_POLL_INTERVAL_S)
    await gateway.membership.join()
    gateway.log.record('ready')
    await curio.Event().wait()


async def _discover_members(gateway: Gateway) -> None:
    """Register this VM and ping the VMs that have registered.

    Serving requests does not depend on it, since writes to the store may fail
    for longer than reads.
    """
    await _register(gateway)
    await MemberDiscovery(gateway.membership, gateway.state.store).run()


async def _register(gateway: Gateway) -> None:
    settings = gateway.settings
    record = VmRecord(
        settings.vm,
        settings.gossip.host,
        leaving=False,
        speed=settings.speed,
    )
    registered = await gateway.state.store.register_vm(record)
    while not isinstance(registered, Success):
        gateway.log.record('register_failed', error=str(registered.failure()))
        await gateway.state.store_health.back_off(registered.failure())
        registered = await gateway.state.store.register_vm(record)
    gateway.state.store_health.record_success()


async def _stand_by(gateway: Gateway) -> None:
    """Wait while enough faster VMs serve the requests."""
    settings = gateway.settings
    listing = await gateway.state.store.list_vms()
    speeds = [record.speed for record in listing.value_or(())]
    if settings.first_start:
        await curio.sleep(_FIRST_START_DISCOVERY_S)
    elif has_enough_faster(settings.speed, speeds):
        # Lets the faster VMs answer the first gossip datagrams.
        await curio.sleep(_DISCOVERY_S)
    if gateway.address_book.should_serve():
        return
    gateway.membership.standing_by = True
    gateway.log.record('standing_by', speed=settings.speed)
    while not gateway.address_book.should_serve():
        await curio.sleep(_STANDBY_POLL_INTERVAL_S)


async def leave(gateway: Gateway) -> None:
    """Shut down within the grace period.

    Leaves the directory, serves requests that still arrive and then drains
    the server for callers. Requests that are still in progress at the end are
    answered with what is known of them.
    """
    grace_s = gateway.settings.grace_s
    end_at = _signalled_at(gateway) + grace_s - _EXIT_MARGIN_S
    gateway.log.record('leaving')
    gateway.membership.leave()
    gateway.request_service.open_requests.end_at = end_at
    gateway.pool.end_at = end_at
    gateway.caller_server.stop_keep_alive()
    await curio.sleep(min(grace_s * _LINGER_SHARE, _left_s(gateway, end_at)))
    await curio.ignore_after(
        _left_s(gateway, end_at), gateway.caller_server.drain()
    )
    await _end_requests(gateway)


def _signalled_at(gateway: Gateway) -> float:
    """Return the earliest time at which the signal may have been sent.

    A process that was paused learns of it later.
    """
    now = gateway.clock.monotonic()
    ran_before_at = gateway.state.pause_guard.ran_before_at
    return now if ran_before_at is None else ran_before_at


def _left_s(gateway: Gateway, end_at: float) -> float:
    return max(0, end_at - gateway.clock.monotonic())


async def _end_requests(gateway: Gateway) -> None:
    ended = gateway.caller_server.requests_in_progress
    await gateway.state.pause_guard.stop()
    await gateway.request_service.open_requests.end_all()
    await curio.ignore_after(_LAST_ANSWERS_S, gateway.caller_server.drain())
    gateway.log.record(
        'stop',
        ended=ended,
        unfinished=gateway.caller_server.requests_in_progress,
    )
    await curio.ignore_after(_CUT_S, gateway.caller_server.cut())
