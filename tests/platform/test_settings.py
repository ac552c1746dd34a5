"""Tests of the settings file that the platform writes."""

import json
import tempfile
from pathlib import Path

from click.testing import CliRunner
from testtools import TestCase
from testtools.matchers import Contains, Equals

from daisydyke._cli._gateway import main
from daisydyke.platform._settings import load_node_settings

SETTINGS = {
    'node_name': 'frontend-1',
    'ip': '10.1.0.9',
    'zone': 'north',
    'listen_addrs': {
        'front': '10.1.0.9:8104',
        'readiness': '10.1.0.9:8108',
        'directory': '10.1.0.9:8100',
    },
    'internal_ports': [7380, 7395],
    'bounds': {'retry_ratio': 0.2, 'retry_slack': 126, 'grace_s': 6},
    'platform': {'address': '10.200.1.7:8102', 'form': 'objects'},
    'not_yet_known': {'any': 1},
}


class TestLoadNodeSettings(TestCase):
    """load_node_settings()"""

    def setUp(self) -> None:
        """Make a folder for the file."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'node.json'

    def write(self, **changes: object) -> None:
        """Write the settings with changes; None leaves a member out."""
        members = {**SETTINGS, **changes}
        kept = {name: one for name, one in members.items() if one is not None}
        self.path.write_text(json.dumps(kept))

    def test_valid(self) -> None:
        """Unknown members are ignored, addresses are split."""
        self.write()
        found = load_node_settings(self.path).unwrap()
        self.assertThat(found.vm, Equals('frontend-1'))
        self.assertThat(found.domain, Equals('north'))
        self.assertThat(found.callers.port, Equals(8104))
        self.assertThat(str(found.gossip), Equals('10.1.0.9:7380'))
        self.assertThat(found.extra_load.slack, Equals(126))

    def test_speed(self) -> None:
        """A share of a core that is several times as fast counts as such."""
        self.write(limits={'cpu_share': 0.5, 'cpu_cores': 3})
        found = load_node_settings(self.path).unwrap()
        self.assertThat(found.speed, Equals(1.5))

    def test_missing_member(self) -> None:
        """The error names the file and the member."""
        self.write(platform=None)
        error = load_node_settings(self.path).failure()
        self.assertThat(error.source, Equals(str(self.path)))
        self.assertThat(str(error), Contains('platform'))

    def test_wrong_type(self) -> None:
        """The error names the path of the member."""
        self.write(internal_ports='all')
        error = load_node_settings(self.path).failure()
        self.assertThat(error.path, Contains('internal_ports'))

    def test_bad_port(self) -> None:
        """An address without a port is an error, not an exception."""
        self.write(platform={'address': 'nowhere'})
        self.assertThat(
            str(load_node_settings(self.path).failure()),
            Contains(str(self.path)),
        )

    def test_no_file(self) -> None:
        """A file that cannot be read is an error."""
        error = load_node_settings(self.path).failure()
        self.assertThat(error.source, Equals(str(self.path)))

    def test_check_settings(self) -> None:
        """The daemon checks a file and exits with 0, or 2 and the fault."""
        self.write()
        arguments = [str(self.path), '--check-settings']
        self.assertThat(
            CliRunner().invoke(main, arguments).exit_code, Equals(0)
        )
        self.write(zone=3)
        outcome = CliRunner().invoke(main, arguments)
        self.assertThat(outcome.exit_code, Equals(2))
        self.assertThat(outcome.output, Contains('$.zone'))
