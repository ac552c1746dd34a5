"""Tests of the gateway's entry point as a process."""

import signal
import subprocess
import sys

from testtools import TestCase
from testtools.matchers import Equals

# Replaces the daemon by one that gets a signal while it is imported.
STAND_IN = """
import os, signal, sys, types
from daisydyke._cli import _gateway_main

class Finder:
    def find_spec(self, name, path, target=None):
        if name == 'daisydyke._cli._gateway':
            os.kill(os.getpid(), signal.{signal})
        return None

sys.meta_path.insert(0, Finder())
sys.argv = ['daisydyke-gateway', '--help']
_gateway_main.main()
"""


def exit_code(number: signal.Signals) -> int:
    """Return the exit code of a process signalled during its import."""
    script = STAND_IN.format(signal=number.name)
    return subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=False,
    ).returncode


class TestMain(TestCase):
    """main()"""

    def test_hang_up_during_import(self) -> None:
        """A change of the settings ends no process that starts."""
        self.assertThat(exit_code(signal.SIGHUP), Equals(0))

    def test_stop_during_import(self) -> None:
        """A process that starts is stopped at once."""
        self.assertThat(
            exit_code(signal.SIGTERM),
            Equals(-signal.SIGTERM),
        )
