"""Test of signals that reach a gateway process while it ends."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

HOST = '127.0.96.1'
GRACE_S = 1.0
SIGNAL_INTERVAL_S = 0.001
START_TIMEOUT_S = 15.0
SETTINGS = {
    'node_name': 'vm-1',
    'ip': HOST,
    'zone': 'north',
    'listen_addrs': {
        'front': f'{HOST}:8104',
        'readiness': f'{HOST}:8108',
        'directory': f'{HOST}:8100',
    },
    'internal_ports': [7380, 7395],
    'platform': {'address': f'{HOST}:8102'},
    'bounds': {'grace_s': GRACE_S},
}


def exit_code(folder: Path) -> int:
    """Stop a process, and go on sending it signals until it is gone."""
    path = folder / 'node.json'
    path.write_text(json.dumps(SETTINGS))
    log_path = folder / 'log'
    with log_path.open('wb') as log:
        process = subprocess.Popen(
            [sys.executable, '-m', 'daisydyke._cli._gateway_main', str(path)],
            stdout=log,
            stderr=log,
        )
    wait_for_start(log_path)
    deadline = time.monotonic() + 2 * GRACE_S
    while process.poll() is None and time.monotonic() < deadline:
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL_S)
    process.kill()
    return process.wait()


def wait_for_start(log_path: Path) -> None:
    """Wait until a process handles signals, as its log tells."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while b'"store"' not in log_path.read_bytes():
        if time.monotonic() > deadline:
            raise TimeoutError
        time.sleep(SIGNAL_INTERVAL_S)


class TestExit(TestCase):
    """main()"""

    def test_signals_during_the_last_steps(self) -> None:
        """Further signals do not make a planned stop a failure (LOST).

        The interpreter restores the default action of each signal before it
        exits, so that the process ended as if it had been killed.
        """
        with tempfile.TemporaryDirectory() as folder:
            self.assertThat(exit_code(Path(folder)), Equals(0))
