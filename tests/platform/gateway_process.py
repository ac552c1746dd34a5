"""Gateway process of its own, for tests of signals that it receives."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

HOST = '127.0.96.1'
GRACE_S = 1.0
START_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.001
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


def start(folder: Path) -> subprocess.Popen[bytes]:
    """Start a process, and wait until it handles signals.

    Parameters:
        folder: holds its settings and its log.

    Raises:
        TimeoutError: it does not handle them within ``START_TIMEOUT_S``.
    """
    path = folder / 'node.json'
    path.write_text(json.dumps(SETTINGS))
    log_path = folder / 'log'
    with log_path.open('wb') as log:
        process = subprocess.Popen(
            [sys.executable, '-m', 'daisydyke._cli._gateway_main', str(path)],
            stdout=log,
            stderr=log,
        )
    _wait_for_start(log_path)
    return process


def _wait_for_start(log_path: Path) -> None:
    """Wait until a process handles signals, as its log tells."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while b'"store"' not in log_path.read_bytes():
        if time.monotonic() > deadline:
            raise TimeoutError
        time.sleep(POLL_INTERVAL_S)
