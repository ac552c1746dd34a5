"""Entry daemon, which serves callers and holds leases of servers."""

from __future__ import annotations

import signal
from functools import partial
from pathlib import Path

import click
import curio

from .._adapters._frames import FrameStream
from .._adapters._signals import SignalStream
from .._adapters._sockets import disable_delay
from .._domain._model import Address
from .._members._seeds import MemberDiscovery
from .._settings._daemon import EntrySettings, load_entry_settings
from ._exit import exit_at_once
from ._settings_option import check_settings_option, unwrap_settings
from ._tasks import TaskFunction, supervise
from ._wiring import Entry, open_channel, wire_entry

_ADDRESS_EXPIRY_MARGIN_S = 0.5
_OWNER_ANNOUNCEMENT_WAIT_S = 1.0
_JOIN_POLL_INTERVAL_S = 0.1
_JOIN_TIMEOUT_S = 10.0
# Longer than a commit waits for the VM that it was forwarded to.
_DRAIN_TIMEOUT_S = 10.5
_HAND_OVER_TIMEOUT_S = 10.0
_BACKLOG_CONNECTIONS = 512


@click.command()
@click.argument('settings_file', type=click.Path(path_type=Path))
@check_settings_option
def main(settings_file: Path, check_only: bool) -> None:  # noqa: FBT001
    """Run an entry daemon with the settings in SETTINGS_FILE."""
    loaded = load_entry_settings(settings_file)
    settings = unwrap_settings(loaded, settings_file, check_only=check_only)
    curio.run(run_entry, settings)


async def run_entry(settings: EntrySettings) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully.

    Another of these signals ends the shutdown immediately. SIGHUP is ignored.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    entry = wire_entry(settings)
    signals = SignalStream(signal.SIGTERM, signal.SIGINT)
    tasks = await _start(entry)
    await signals.next()
    entry.logger.info({'event': 'leaving'})
    # A group waits for no daemon tasks.
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_shut_down, entry)
        await group.spawn(_wait_for_second_signal, entry, signals)
    for task in tasks:
        await task.cancel()
    for gate in entry.ownership.gates.values():
        await gate.abort()
    exit_at_once()


async def _start(entry: Entry) -> list[curio.Task]:
    settings = entry.settings
    await entry.server.start(Address(settings.host, settings.caller_port))
    task_functions: tuple[TaskFunction, ...] = (
        partial(_accept_peers, entry),
        entry.watch.run,
        entry.membership.run_receiver,
        entry.membership.run_probes,
        MemberDiscovery(
            entry.membership, entry.platform, entry.settings.seeds
        ).run,
        entry.session.run,
        entry.fencing.run_vm_list,
        entry.ownership.run,
        partial(entry.links.run, open_channel),
        entry.peers.run_state_updates,
        partial(_join, entry),
    )
    log_failure = partial(_log_failure, entry)
    return [
        await curio.spawn(supervise(task_function, log_failure), daemon=True)
        for task_function in task_functions
    ]


def _log_failure(entry: Entry, error: Exception) -> None:
    entry.logger.error({'event': 'task_failed'}, exc_info=error)


async def _join(entry: Entry) -> None:
    """Join once documents and servers are known, or after a time-out.

    Waits forever afterwards, since ``supervise`` restarts a task that returns.
    """
    waited_s: float = 0
    while waited_s < _JOIN_TIMEOUT_S and not entry.is_ready():
        await curio.sleep(_JOIN_POLL_INTERVAL_S)
        waited_s += _JOIN_POLL_INTERVAL_S
    await entry.membership.join()
    await curio.Event().wait()


async def _accept_peers(entry: Entry) -> None:
    settings = entry.settings
    listener = curio.tcp_server_socket(
        settings.host,
        settings.peer_port,
        backlog=_BACKLOG_CONNECTIONS,
    )
    async with listener:
        while True:
            peer, _ = await listener.accept()
            disable_delay(peer)
            await curio.spawn(
                entry.peers.serve(FrameStream(peer)),
                daemon=True,
            )


async def _shut_down(entry: Entry) -> None:
    """Shut down gracefully.

    Removes this VM from the address responses, waits until callers no longer
    keep its address, drains requests, hands over the servers and waits for
    running commits, in this order.
    """
    entry.membership.leave()
    address_keep_s = entry.settings.address_keep_ms / 1000
    await curio.sleep(address_keep_s + _ADDRESS_EXPIRY_MARGIN_S)
    # A caller that does not read its answer would hold up the stop.
    await curio.ignore_after(_DRAIN_TIMEOUT_S, entry.server.drain())
    await curio.ignore_after(
        _HAND_OVER_TIMEOUT_S,
        entry.ownership.hand_over_all(),
    )
    # New owners announce their servers while links to this VM still work.
    await curio.sleep(_OWNER_ANNOUNCEMENT_WAIT_S)
    await entry.commits.drain()
    entry.logger.info({'event': 'left'})


async def _wait_for_second_signal(
    entry: Entry,
    signals: SignalStream,
) -> None:
    await signals.next()
    entry.logger.info(
        {'event': 'cut_off', 'requests': entry.server.requests_in_progress},
    )
