"""The entry daemon: serves callers and owns backend servers."""

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
from .._members._seeds import Seeds
from .._settings._daemon import EntrySettings, load_entry_settings
from ._settings_option import check_settings_option, unwrap_settings
from ._tasks import Run, supervise
from ._wiring import Entry, open_channel, wire_entry

_LEAVE_SLACK_S = 0.5
_LINGER_S = 1.0
_JOIN_POLL_S = 0.1
_LONGEST_JOIN_S = 10.0
_HAND_OVER_TIMEOUT_S = 10.0
_BACKLOG = 512
_DRAIN_POLL_S = 0.01


@click.command()
@click.argument('settings_file', type=click.Path(path_type=Path))
@check_settings_option
def main(settings_file: Path, check_only: bool) -> None:  # noqa: FBT001
    """Run an entry daemon with the settings in SETTINGS_FILE."""
    loaded = load_entry_settings(settings_file)
    settings = unwrap_settings(loaded, settings_file, check_only=check_only)
    curio.run(run_entry, settings)


async def run_entry(settings: EntrySettings) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully."""
    entry = wire_entry(settings)
    signals = SignalStream(signal.SIGTERM, signal.SIGINT)
    tasks = await _start(entry)
    await signals.next()
    draining = await curio.spawn(_leave(entry), daemon=True)
    second = await curio.spawn(_log_second_signal(entry, signals), daemon=True)
    async with curio.TaskGroup((draining, second), wait=any):
        entry.logger.info({'event': 'leaving'})
    for task in tasks:
        await task.cancel()


async def _start(entry: Entry) -> list[curio.Task]:
    settings = entry.settings
    await entry.server.start(Address(settings.host, settings.caller_port))
    runs: tuple[Run, ...] = (
        partial(_accept_peers, entry),
        entry.watch.run,
        entry.membership.run_receiver,
        entry.membership.run_probes,
        Seeds(entry.membership, entry.platform, entry.settings.seeds).run,
        entry.session.run,
        entry.fencing.run_vm_list,
        entry.ownership.run,
        partial(entry.links.run, open_channel),
        entry.peers.run_state_updates,
        partial(_join, entry),
    )
    report = partial(_report_failure, entry)
    return [
        await curio.spawn(supervise(run, report), daemon=True) for run in runs
    ]


def _report_failure(entry: Entry, error: Exception) -> None:
    entry.logger.error({'event': 'task_failed'}, exc_info=error)


async def _join(entry: Entry) -> None:
    """Take work once documents and servers are known, or after a while."""
    waited: float = 0
    while waited < _LONGEST_JOIN_S and not entry.is_ready():
        await curio.sleep(_JOIN_POLL_S)
        waited += _JOIN_POLL_S
    await entry.membership.join()
    await curio.Event().wait()


async def _accept_peers(entry: Entry) -> None:
    settings = entry.settings
    listener = curio.tcp_server_socket(
        settings.host,
        settings.peer_port,
        backlog=_BACKLOG,
    )
    async with listener:
        while True:
            peer, _ = await listener.accept()
            disable_delay(peer)
            await curio.spawn(
                entry.peers.serve(FrameStream(peer)),
                daemon=True,
            )


async def _leave(entry: Entry) -> None:
    """Leave the address answers, drain, hand over, in this order."""
    entry.membership.leave()
    keep_s = entry.settings.address_keep_ms / 1000
    await curio.sleep(keep_s + _LEAVE_SLACK_S)
    await entry.server.drain()
    await curio.ignore_after(
        _HAND_OVER_TIMEOUT_S,
        entry.ownership.hand_over_all(),
    )
    # The new owners tell of their servers before the links to this VM break.
    await curio.sleep(_LINGER_S)
    while entry.commits.running_count:
        await curio.sleep(_DRAIN_POLL_S)
    entry.logger.info({'event': 'left'})


async def _log_second_signal(
    entry: Entry,
    signals: SignalStream,
) -> None:
    await signals.next()
    entry.logger.info(
        {'event': 'cut_off', 'requests': entry.server.busy},
    )
