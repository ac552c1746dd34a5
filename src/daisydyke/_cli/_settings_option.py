"""Settings file handling shared by the daemons' commands."""

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
    """Return valid settings.

    Exits with code 2 if the settings are invalid, and with code 0 if they are
    valid and only to be checked.

    Parameters:
        loaded: outcome of reading the settings file.
        path: path of the settings file, for messages.
        check_only: whether to exit after the check.
    """
    if not isinstance(loaded, Success):
        click.echo(str(loaded.failure()), err=True)
        sys.exit(_EXIT_INVALID_SETTINGS)
    if check_only:
        click.echo(f'{path}: valid')
        sys.exit(0)
    return loaded.unwrap()
