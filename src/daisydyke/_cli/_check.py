"""Command that checks a configuration before it is sent."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from itertools import chain
from pathlib import Path
from typing import Any

import click
import msgspec
from returns.result import Success

from .._checks._customers import check_customers
from .._checks._difference import (
    ADDED,
    KEYS_ADDED,
    KEYS_REMOVED,
    REMOVED,
    Difference,
    check_version,
    compare,
)
from .._checks._findings import Finding
from .._checks._outline import ConfigurationOutline
from .._checks._routes import check_routes, check_services
from .._domain._model import Address
from .._settings._documents import AddressText, parse_address
from ..exceptions import InvalidDocumentError
from ..platform._member_names import member_name, member_path, member_value
from ._configuration_source import OutlineResult, read_file, read_store

_EXIT_FOUND = 1
_EXIT_INVALID = 2
_FILE_ARGUMENT = click.Path(exists=True, dir_okay=False, path_type=Path)


def _parse_store(
    _context: click.Context, _parameter: click.Parameter, text: str | None
) -> Address | None:
    if text is None:
        return None
    try:
        return parse_address(msgspec.convert(text, AddressText))
    except msgspec.ValidationError as error:
        raise click.BadParameter('must be ADDRESS:PORT') from error


@click.command()
@click.argument('path', metavar='FILE', type=_FILE_ARGUMENT)
@click.option(
    '--against',
    type=_FILE_ARGUMENT,
    help='Configuration to show differences from.',
)
@click.option(
    '--store',
    metavar='ADDRESS:PORT',
    callback=_parse_store,
    help="The platform's store; shows differences from what is in force.",
)
@click.option('--json', 'as_json', is_flag=True, help='Print one JSON object.')
def check(
    path: Path,
    against: Path | None,
    store: Address | None,
    as_json: bool,  # noqa: FBT001
) -> None:
    """Check the configuration of the gateway in FILE, without sending it.

    Exit codes: 0 nothing found, 1 something is valid but can't be meant, 2
    invalid. Differences alone do not count. No key is printed.
    """
    if against is not None and store is not None:
        raise click.UsageError('--against and --store exclude each other')
    report = _make_report(read_file(path), _read_earlier(against, store))
    text = '\n'.join(_lines(report))
    click.echo(json.dumps(report) if as_json else text)
    if 'error' in report:
        sys.exit(_EXIT_INVALID)
    if report['findings']:
        sys.exit(_EXIT_FOUND)


def _read_earlier(
    path: Path | None, store: Address | None
) -> OutlineResult | None:
    """Read what the configuration is compared with, if anything."""
    if path is not None:
        return read_file(path)
    return None if store is None else read_store(store)


def _make_report(
    outcome: OutlineResult, earlier: OutlineResult | None
) -> dict[str, Any]:
    """Return the members of the JSON object that the command prints."""
    compared = outcome if earlier is None else earlier
    for decoded in (outcome, compared):
        if not isinstance(decoded, Success):
            return {'error': _describe_error(decoded.failure())}
    outline = outcome.unwrap()
    findings = list(_find(outline))
    if earlier is not None:
        findings.extend(check_version(earlier.unwrap(), outline))
    return {
        'version': outline.version,
        'findings': [_describe_finding(finding) for finding in findings],
        'differences': [
            _describe_difference(difference)
            for difference in compare(compared.unwrap(), outline)
        ],
    }


def _find(outline: ConfigurationOutline) -> Iterator[Finding]:
    return chain(
        check_routes(outline),
        check_services(outline),
        check_customers(outline),
    )


def _describe_error(error: InvalidDocumentError) -> dict[str, str]:
    return {'file': error.source, 'path': error.path, 'rule': error.rule}


def _describe_finding(finding: Finding) -> dict[str, str]:
    return {
        'path': member_path(finding.place),
        'rule': finding.rule.value,
        'name': finding.subject,
        'explanation': finding.explanation,
    }


def _describe_difference(difference: Difference) -> dict[str, Any]:
    attribute = difference.attribute
    return {
        'subject': difference.subject,
        'name': difference.name,
        'member': member_name(attribute),
        'before': member_value(attribute, difference.before),
        'after': member_value(attribute, difference.after),
        'affected': difference.affected,
    }


def _lines(report: dict[str, Any]) -> Iterator[str]:
    error = report.get('error')
    if error is not None:
        yield f'invalid: {error["file"]}: {error["path"]}: {error["rule"]}'
        return
    for finding in report['findings']:
        yield _format_finding(finding)
    for difference in report['differences']:
        yield _format_difference(difference)
    if not report['findings']:
        yield f'version {report["version"]}: nothing found'


def _format_finding(finding: dict[str, str]) -> str:
    rule = ' '.join((finding['rule'], finding['name'])).strip()
    return f'{finding["path"]}: {rule}: {finding["explanation"]}'


def _format_difference(difference: dict[str, Any]) -> str:
    entry = ' '.join((difference['subject'], difference['name'])).strip()
    change = difference['member']
    if change in {KEYS_ADDED, KEYS_REMOVED}:
        change = f'{change} {difference["after"]}'
    elif change not in {ADDED, REMOVED}:
        before = json.dumps(difference['before'])
        after = json.dumps(difference['after'])
        change = f'{change} {before} -> {after}'
    return f'{entry}: {change}; affects {difference["affected"]}'
