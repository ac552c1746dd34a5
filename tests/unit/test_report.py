"""Tests of the page that plots the benchmark's journal."""

import json
import tempfile
from pathlib import Path

from click.testing import CliRunner
from testtools import TestCase
from testtools.matchers import Contains, Equals

from tools.report import main, read_entries

DAY = {
    'name': 'quiet-1',
    'G': 0.8,
    'served': 0.9,
    'refused': 0,
    'failed': None,
    'rules': {},
    'parts': [['whole day', 0.75, 0.9]],
    'prices': [['memory', 3.0, 0.02]],
}
ENTRY = {
    'id': 'a1',
    'site': 'rota',
    'head': '0123abcdef',
    'why': 'a reason',
    'days': [DAY, {**DAY, 'name': 'scale-1', 'prices': []}],
}


class TestReport(TestCase):
    """tools.report"""

    def setUp(self) -> None:
        """Create a journal with complete, truncated and empty entries."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.journal = Path(folder.name)
        texts = {
            '1.json': json.dumps(ENTRY),
            '2.json': '{"id": "cut sh',
            '3.json': json.dumps({**ENTRY, 'id': 'a3', 'days': []}),
            '4.json': json.dumps({**ENTRY, 'id': 'a4'}),
        }
        for name, text in texts.items():
            (self.journal / name).write_text(text)

    def write_page(self, *arguments: str) -> str:
        """Write the page and return its text."""
        page = self.journal / 'page.html'
        options = ['--journal', str(self.journal), '--output', str(page)]
        outcome = CliRunner().invoke(main, [*options, *arguments])
        self.assertThat(outcome.exit_code, Equals(0))
        return page.read_text()

    def test_entries(self) -> None:
        """Truncated entries and entries without days are left out."""
        entry_ids = [entry.entry_id for entry in read_entries(self.journal)]
        self.assertThat(entry_ids, Equals(['a1', 'a4']))

    def test_page(self) -> None:
        """Every entry has a section with a plot."""
        page = self.write_page()
        self.assertThat(page, Contains('rota a1, code 0123abcd'))
        self.assertThat(page.count('<img'), Equals(3))

    def test_compare(self) -> None:
        """Only the entries selected with --only are shown."""
        page = self.write_page('--only', 'a4', 'a4')
        self.assertThat(page.count('<h2>'), Equals(1))

    def test_no_entry(self) -> None:
        """A journal without days is an error that names the journal."""
        empty = tempfile.mkdtemp(dir=self.journal)
        outcome = CliRunner().invoke(main, ['--journal', empty])
        self.assertThat(outcome.exit_code, Equals(1))
        self.assertThat(outcome.output, Contains(empty))
