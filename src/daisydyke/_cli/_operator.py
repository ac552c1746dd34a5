"""The operators' command line."""

from __future__ import annotations

import difflib
import json
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import click
import curio
import msgspec

from .._settings._documents import parse_service
from ._console import EXIT_FAILED, Console, unwrap
from ._explain import explain_lines

_NAME_COLUMN = 16
DEFAULT_CALLER_PORT = 8080


def run(work: Callable[[], Awaitable[Any]]) -> Any:
    """Run one asynchronous call."""
    return curio.run(work)


@click.group()
@click.option(
    '--platform',
    envvar='DAISYDYKE_PLATFORM',
    help='Address of the object API, HOST:PORT.',
)
@click.option('--caller-port', default=DEFAULT_CALLER_PORT, show_default=True)
@click.option(
    '--output',
    type=click.Choice(['table', 'json']),
    default='table',
    show_default=True,
)
@click.pass_context
def main(
    context: click.Context,
    platform: str | None,
    caller_port: int,
    output: str,
) -> None:
    """Operate a daisydyke system.

    Exit codes: 0 done, 1 failed, 2 invalid document or usage, 3 version
    conflict, 5 accepted but not yet in force on every entry VM.
    """
    context.obj = Console(platform, caller_port, output)


@main.group()
def service() -> None:
    """Documents that teams own, one for each service."""


@service.command()
@click.argument(
    'path', metavar='FILE', type=click.Path(exists=True, path_type=Path)
)
def validate(path: Path) -> None:
    """Check FILE and change nothing."""
    spec = unwrap(parse_service(path.read_bytes(), str(path)))
    click.echo(f'{path}: valid, {len(spec.servers)} servers')


@service.command(name='apply')
@click.argument(
    'path', metavar='FILE', type=click.Path(exists=True, path_type=Path)
)
@click.option('--expect', type=int, help='Version the change is based on.')
@click.option('--dry-run', is_flag=True, help='Show what would change.')
@click.pass_obj
def apply_service(
    console: Console,
    path: Path,
    expect: int | None,
    dry_run: bool,  # noqa: FBT001
) -> None:
    """Check FILE, write it, and wait until it is in force."""
    text = path.read_bytes()
    spec = unwrap(parse_service(text, str(path)))
    if dry_run:
        _show_diff(console, spec.name, text, str(path))
        return
    apply = partial(
        console.operations.apply_service,
        text,
        str(path),
        expect,
    )
    console.finish('service', run(apply))


@service.command()
@click.argument('name')
@click.pass_obj
def show(console: Console, name: str) -> None:
    """Print the document of the service NAME and its version."""
    stored = unwrap(run(partial(console.operations.show, 'service', name)))
    if stored is None or stored.text is None:
        click.echo(f'service/{name}: no such document', err=True)
        sys.exit(EXIT_FAILED)
    click.echo(f'version {stored.version}', err=True)
    click.echo(msgspec.json.format(stored.text, indent=2).decode())


@service.command(name='list')
@click.pass_obj
def list_services(console: Console) -> None:
    """List the services and their versions."""
    found = unwrap(
        run(partial(console.operations.list_documents, 'service')),
    )
    for stored in sorted(found, key=lambda one: one.name):
        console.print(
            {'name': stored.name, 'version': stored.version},
            f'{stored.name:<{_NAME_COLUMN}} version {stored.version}',
        )


def _make_switch(scope: str, word: str, target: str) -> click.Command:
    @click.command(name=word, help=f'Take {target} {word}.')
    @click.argument('name')
    @click.pass_obj
    def switch(console: Console, name: str) -> None:
        out = word == 'out'
        work = partial(console.operations.switch, scope, name, out=out)
        console.finish('switch', run(work))

    return switch


def _switch_group(scope: str, description: str) -> None:
    @main.group(name=scope, help=f'{description} in and out of service.')
    def group() -> None:
        """Hold the commands of one scope."""

    for word in ('out', 'in'):
        group.add_command(_make_switch(scope, word, description.lower()))

    @group.command(name='status', help='Show what is out.')
    @click.pass_obj
    def show_status(console: Console) -> None:
        found = unwrap(
            run(partial(console.operations.list_documents, 'switch')),
        )
        for stored in found:
            if stored.name.startswith(f'{scope}-') and stored.text:
                name = stored.name.removeprefix(f'{scope}-')
                state = json.loads(stored.text)['state']
                console.print(
                    {'name': name, 'state': state},
                    f'{name:<{_NAME_COLUMN}} {state}',
                )


_switch_group('domain', 'A failure domain')
_switch_group('vm', 'An entry VM')


@main.command()
@click.pass_obj
def status(console: Console) -> None:
    """Show what is in force on each entry VM, and who lags."""
    reports = run(console.statuses)
    newest = max(
        (one.status.configuration_version for one in reports if one.status),
        default=0,
    )
    for report in reports:
        found = report.status
        if found is None:
            line = 'does not answer'
        else:
            behind = newest - found.configuration_version
            line = (
                f'version {found.configuration_version} '
                f'{"LAGS" if behind else "current"}, '
                f'{len(found.owned)} servers, '
                f'session {"valid" if found.session_valid else "LAPSED"}'
                f'{", leaving" if found.draining else ""}'
            )
        console.print(
            {
                'vm': report.vm,
                'status': msgspec.to_builtins(found) if found else None,
            },
            f'{report.vm:<{_NAME_COLUMN}} {line}',
        )


@main.command()
@click.argument('request_id')
@click.argument(
    'logs',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=Path),
)
def explain(request_id: str, logs: tuple[Path, ...]) -> None:
    """Show the decisions behind the answer to REQUEST_ID from LOGS."""
    for line in explain_lines(request_id, logs):
        click.echo(line)


def _show_diff(console: Console, name: str, text: bytes, source: str) -> None:
    stored = unwrap(run(partial(console.operations.show, 'service', name)))
    old = b'{}' if stored is None or stored.text is None else stored.text
    lines = difflib.unified_diff(
        msgspec.json.format(old).decode().splitlines(),
        msgspec.json.format(text).decode().splitlines(),
        f'service/{name}',
        source,
        lineterm='',
    )
    click.echo('\n'.join(lines) or 'no change')
