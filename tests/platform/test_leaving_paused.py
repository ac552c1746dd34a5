"""Tests of a planned stop beside a pause of the process.

A process that resumes asks the store for what it has missed. Until the store
answers, requests in progress wait, and the end of the stop did not wake them.
"""

from __future__ import annotations

import signal
import tempfile
import time
from pathlib import Path
from unittest import mock

import curio
from testtools import TestCase
from testtools.matchers import Contains, LessThan

from daisydyke._mirror._mirror import KindMirror
from tests.platform import gateway_process, test_leaving

# Long enough that the process takes it for a pause.
PAUSE_S = 1.8
PAUSED_AT_S = 0.9
LONG_GRACE_S = 3.0
EXIT_TIMEOUT_S = 10.0


async def _refresh_never(mirror: KindMirror) -> None:
    """Wait for a store that does not answer."""
    await curio.sleep(1000)


def _stop_in_pause(folder: Path, pause_s: float) -> float:
    """Send SIGTERM to a paused process; return when it ended after that."""
    process = gateway_process.start(folder)
    process.send_signal(signal.SIGSTOP)
    sent_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    time.sleep(pause_s)
    process.send_signal(signal.SIGCONT)
    process.wait(EXIT_TIMEOUT_S)
    return time.monotonic() - sent_at


class TestLeavingPaused(TestCase):
    """leave()"""

    def test_store_is_silent_after_a_pause(self) -> None:
        """A request that waits for the store is answered at the end (LOST)."""
        with (
            mock.patch.object(KindMirror, 'refresh', _refresh_never),
            mock.patch.object(test_leaving, 'GRACE_S', LONG_GRACE_S),
            mock.patch.object(test_leaving, 'HELD_S', PAUSE_S),
        ):
            stop = test_leaving._run({'before': (0, 0)}, held_at_s=PAUSED_AT_S)
        self.assertThat(stop.answers.get('before', b''), Contains(b' 504 '))

    def test_signal_during_a_pause(self) -> None:
        """The grace period starts with the signal, not when it is read."""
        with tempfile.TemporaryDirectory() as folder:
            took_s = _stop_in_pause(Path(folder), gateway_process.GRACE_S / 2)
        self.assertThat(took_s, LessThan(gateway_process.GRACE_S))
