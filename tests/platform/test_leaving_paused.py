"""Tests of a planned stop beside a pause of the process.

A process that resumes asks the store for what it has missed. Until the store
answers, requests in progress wait, and the end of the stop did not wake them.
"""

from __future__ import annotations

from unittest import mock

import curio
from testtools import TestCase
from testtools.matchers import Contains

from daisydyke._mirror._mirror import KindMirror
from tests.platform import test_leaving

# Long enough that the process takes it for a pause.
PAUSE_S = 1.8
PAUSED_AT_S = 0.9
LONG_GRACE_S = 3.0


async def _refresh_never(mirror: KindMirror) -> None:
    """Wait for a store that does not answer."""
    await curio.sleep(1000)


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
