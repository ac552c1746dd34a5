"""Tests of the gateway's entry point as a process."""

import signal
import subprocess
import sys

from testtools import TestCase
from testtools.matchers import Equals

# Sends the process a signal while it imports the gateway module.
SCRIPT = """
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

LIST_MODULES = """
import sys
import daisydyke._cli._gateway_main
print(*sys.modules)
"""
LIBRARIES = frozenset(('click', 'curio', 'h11', 'httptools', 'msgspec'))


def exit_code(sent: signal.Signals) -> int:
    """Return the exit code of a process signalled during the import."""
    script = SCRIPT.format(signal=sent.name)
    return subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=False,
    ).returncode


class TestMain(TestCase):
    """main()"""

    def test_sighup_during_import(self) -> None:
        """SIGHUP during the import does not end the process."""
        self.assertThat(exit_code(signal.SIGHUP), Equals(0))

    def test_nothing_slow_is_imported_before(self) -> None:
        """No library is imported before SIGHUP is ignored (LOST).

        A process that was told of new settings while it started ended.
        """
        loaded = subprocess.run(
            [sys.executable, '-c', LIST_MODULES],
            capture_output=True,
            check=True,
            text=True,
        ).stdout.split()
        self.assertThat(LIBRARIES.intersection(loaded), Equals(set()))

    def test_sigterm_during_import(self) -> None:
        """SIGTERM during the import ends the process."""
        self.assertThat(
            exit_code(signal.SIGTERM),
            Equals(-signal.SIGTERM),
        )
