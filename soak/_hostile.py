"""Callers of a soak that keep no limits, and the memory that they may take."""

from __future__ import annotations

import random
import subprocess  # noqa: S404
from contextlib import suppress
from pathlib import Path
from threading import Thread

import curio

from daisydyke._domain._model import Address
from soak._paced import HOST_NAME
from soak._world import CALLER_PORT, SoakCluster
from stand_ins.crowd import gather

_CROWD_COUNT = 2
_PAUSE_RANGE_S = (0.5, 2.0)
_STAY_S = 2.5
_POLL_S = 0.2
_KB_PER_MB = 1024


async def press(cluster: SoakCluster) -> None:
    """Let some callers that keep no limits use one VM after the other."""
    draws = random.Random(f'hostile {cluster.seed}')  # noqa: S311
    for _ in range(_CROWD_COUNT):
        await curio.sleep(draws.uniform(*_PAUSE_RANGE_S))
        vms = [vm for vm in cluster.vms if not vm.stopping]
        host = draws.choice(vms or cluster.vms).host
        # One of curio's own threads may not outlast the soak.
        address = Address(host, CALLER_PORT)
        crowd = Thread(target=_use, args=(address,), daemon=True)
        crowd.start()
        while crowd.is_alive():
            await curio.sleep(_POLL_S)


async def watch_memory(cluster: SoakCluster) -> None:
    """Keep the largest memory of each VM's processes until cancelled."""
    while True:
        for vm in cluster.vms:
            if vm.process is not None:
                vm.peak_mb = max(vm.peak_mb, peak_mb(vm.process))
        await curio.sleep(_POLL_S)


def peak_mb(process: subprocess.Popen[bytes]) -> float:
    """Return the largest resident memory of a process in MiB, 0 if it ended."""
    status = ''
    with suppress(OSError):
        status = Path('/proc', str(process.pid), 'status').read_text()
    numbers = status.partition('VmHWM:')[2].split()
    return int(numbers[0]) / _KB_PER_MB if numbers else 0


def _use(address: Address) -> None:
    with gather(address, HOST_NAME) as crowd:
        crowd.read_slowly(18)
        crowd.pipeline(12)
        crowd.close_half(4)
        crowd.announce_only(6)
        crowd.send_bytewise(4)
        crowd.stay(_STAY_S)
