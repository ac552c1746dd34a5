"""Test of signals that reach a gateway process while it ends."""

from __future__ import annotations

import signal
import tempfile
import time
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from tests.platform import gateway_process

SIGNAL_INTERVAL_S = 0.001


def exit_code(folder: Path) -> int:
    """Stop a process, and go on sending it signals until it is gone."""
    process = gateway_process.start(folder)
    deadline = time.monotonic() + 2 * gateway_process.GRACE_S
    while process.poll() is None and time.monotonic() < deadline:
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL_S)
    process.kill()
    return process.wait()


class TestExit(TestCase):
    """main()"""

    def test_signals_during_the_last_steps(self) -> None:
        """Further signals do not make a planned stop a failure (LOST).

        The interpreter restores the default action of each signal before it
        exits, so that the process ended as if it had been killed.
        """
        with tempfile.TemporaryDirectory() as folder:
            self.assertThat(exit_code(Path(folder)), Equals(0))
