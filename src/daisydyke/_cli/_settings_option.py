"""How the daemons' commands treat their settings file."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TypeVar

import click
from returns.result import Result, Success

from ..exceptions import InvalidDocumentError

_EXIT_INVALID_SETTINGS = 2
_SettingsT = TypeVar('_SettingsT')

check_settings_option = click.option(
    '--check-settings',
    'check_only',
    is_flag=True,
    help='Check the settings file and exit.',
)


def unwrap_settings(
    loaded: Result[_SettingsT, InvalidDocumentError],
    path: Path,
    *,
    check_only: bool,
) -> _SettingsT:
    """Return settings; exit with 2 if invalid, with 0 if only checked."""
    if not isinstance(loaded, Success):
        click.echo(str(loaded.failure()), err=True)
        sys.exit(_EXIT_INVALID_SETTINGS)
    if check_only:
        click.echo(f'{path}: valid')
        sys.exit(0)
    return loaded.unwrap()
