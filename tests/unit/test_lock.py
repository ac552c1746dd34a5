"""The requirements lock installs on each supported kind of machine."""

from __future__ import annotations

import re

import testtools
from testtools.matchers import Equals

from tools.lock import (
    FILES_PATH,
    LOCK_PATH,
    MACHINES,
    format_lock,
    read_files,
    read_lock,
)


def _project(name: str) -> str:
    """Return the normalized project name of a file or requirement."""
    project = re.split(r'==|-\d', name, maxsplit=1)[0]
    return re.sub('[-_.]+', '-', project).lower()


def _machines(files: list[str]) -> set[str]:
    """Return the machines that can use at least one of the files."""
    return {
        machine
        for machine in MACHINES
        for name in files
        if machine in name or name.endswith(('-any.whl', '.tar.gz'))
    }


class LockTests(testtools.TestCase):
    """The lock and the list of its files agree."""

    def setUp(self) -> None:
        super().setUp()
        self.lock = read_lock(LOCK_PATH.read_text(encoding='utf-8'))
        self.files = read_files(FILES_PATH.read_text(encoding='utf-8'))

    def test_each_machine_can_install_each_requirement(self) -> None:
        missing = {
            requirement: set(MACHINES) - _machines(files)
            for requirement in self.lock
            if _machines(files := self._files_in_lock(requirement))
            != set(MACHINES)
        }
        self.assertThat(missing, Equals({}))

    def test_each_file_is_in_the_lock(self) -> None:
        known = {digest for digests in self.lock.values() for digest in digests}
        unknown = [
            name for name, digest in self.files.items() if digest not in known
        ]
        self.assertThat(unknown, Equals([]))

    def test_formatted_lock_reads_back(self) -> None:
        self.assertThat(read_lock(format_lock(self.lock)), Equals(self.lock))

    def _files_in_lock(self, requirement: str) -> list[str]:
        return [
            name
            for name, digest in self.files.items()
            if _project(name) == _project(requirement)
            and digest in self.lock[requirement]
        ]
