"""Adds the files for each supported machine to the requirements lock.

``pip-compile`` names only some of the files of a release, so that a lock made
on one machine may not install on another. This tool asks pip for the file
that each supported machine would install, adds its hash to the lock, and
lists the files in ``requirements.files``, as ``sha256sum`` prints them.
"""

from __future__ import annotations

import hashlib
import subprocess  # noqa: S404
import sys
import tempfile
from pathlib import Path

MACHINES = ('x86_64', 'aarch64')
LOCK_PATH = Path('requirements.lock')
FILES_PATH = Path('requirements.files')
_PYTHON_VERSION = '3.11'
_PLATFORMS = ('manylinux2014', 'manylinux_2_17', 'manylinux_2_28')
_CONTINUATION = ' \x5c\n'
_HASH_PREFIX = '    --hash=sha256:'


def read_lock(text: str) -> dict[str, set[str]]:
    """Return the SHA-256 hashes of each requirement, such as ``h11==0.16.0``.

    Parameters:
        text: content of a lock in the format of ``pip-compile``.
    """
    hashes: dict[str, set[str]] = {}
    requirement = ''
    for line in text.splitlines():
        stripped = line.removesuffix('\\').rstrip()
        if stripped.startswith(_HASH_PREFIX):
            digest = stripped.removeprefix(_HASH_PREFIX)
            hashes[requirement].add(digest)
        elif stripped and not stripped.startswith('#'):
            requirement = stripped
            hashes[requirement] = set()
    return hashes


def read_files(text: str) -> dict[str, str]:
    """Return the SHA-256 hash of each file by its name.

    Parameters:
        text: lines in the format of ``sha256sum``.
    """
    pairs = (line.split() for line in text.splitlines())
    return {name: digest for digest, name in pairs}


def format_lock(hashes: dict[str, set[str]]) -> str:
    """Return a lock in the format that ``read_lock`` reads."""
    entries = []
    for requirement in sorted(hashes):
        lines = (f'{_HASH_PREFIX}{one}' for one in sorted(hashes[requirement]))
        entries.append(_CONTINUATION.join((requirement, *lines)))
    return '\n'.join((*entries, ''))


def main() -> int:
    """Update the lock and the list of files; return the exit code."""
    hashes = read_lock(LOCK_PATH.read_text(encoding='utf-8'))
    files: dict[str, str] = {}
    for requirement, known in hashes.items():
        found = _find_files(requirement)
        if not found:
            sys.stderr.write(f'{requirement}: no file found\n')
            return 1
        known.update(found.values())
        files.update(found)
    LOCK_PATH.write_text(format_lock(hashes), encoding='utf-8')
    lines = (f'{files[name]}  {name}\n' for name in sorted(files))
    FILES_PATH.write_text(''.join(lines), encoding='utf-8')
    return 0


def _find_files(requirement: str) -> dict[str, str]:
    found: dict[str, str] = {}
    sources_needed = False
    for machine in MACHINES:
        wheels = _download(requirement, *_wheel_options(machine))
        sources_needed = sources_needed or not wheels
        found.update(wheels)
    if sources_needed:
        found.update(_download(requirement, '--no-binary=:all:'))
    return found


def _wheel_options(machine: str) -> tuple[str, ...]:
    platforms = (f'--platform={one}_{machine}' for one in _PLATFORMS)
    return (
        '--only-binary=:all:',
        f'--python-version={_PYTHON_VERSION}',
        *platforms,
    )


def _download(requirement: str, *options: str) -> dict[str, str]:
    """Return the hashes of the files that pip downloads, none if it fails."""
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(  # noqa: S603
            (
                sys.executable,
                *('-m', 'pip', 'download', '-q', '--no-deps', '-d', folder),
                *options,
                requirement,
            ),
            check=False,
            stderr=subprocess.DEVNULL,
        )
        return {
            path.name: hashlib.sha256(path.read_bytes()).hexdigest()
            for path in Path(folder).iterdir()
        }


if __name__ == '__main__':
    sys.exit(main())
