"""Command line for operators."""

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
from ._check import check
from ._console import EXIT_FAILED, Console, unwrap_or_exit
from ._explain import explain_lines

_NAME_COLUMN_WIDTH = 16
DEFAULT_CALLER_PORT = 8080


def run_async(call: Callable[[], Awaitable[Any]]) -> Any:
    """Run an asynchronous call to its end and return its result."""
    return curio.run(call)


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
    """Manage the teams' documents, one for each service."""


@service.command()
@click.argument(
    'path', metavar='FILE', type=click.Path(exists=True, path_type=Path)
)
def validate(path: Path) -> None:
    """Validate FILE without writing it."""
    spec = unwrap_or_exit(parse_service(path.read_bytes(), str(path)))
    click.echo(f'{path}: valid, {len(spec.servers)} servers')


@service.command(name='apply')
@click.argument(
    'path', metavar='FILE', type=click.Path(exists=True, path_type=Path)
)
@click.option(
    '--expect', type=int, help='Stored version on which the change is based.'
)
@click.option('--dry-run', is_flag=True, help='Show what would change.')
@click.pass_obj
def apply_service(
    console: Console,
    path: Path,
    expect: int | None,
    dry_run: bool,  # noqa: FBT001
) -> None:
    """Validate FILE, write it, and wait until it is in force."""
    text = path.read_bytes()
    spec = unwrap_or_exit(parse_service(text, str(path)))
    if dry_run:
        _show_diff(console, spec.name, text, str(path))
        return
    apply = partial(
        console.operations.apply_service,
        text,
        str(path),
        expect,
    )
    console.report_change('service', run_async(apply))


@service.command()
@click.argument('name')
@click.pass_obj
def show(console: Console, name: str) -> None:
    """Print the document of the service NAME and its version."""
    stored = unwrap_or_exit(
        run_async(partial(console.operations.show, 'service', name))
    )
    if stored is None or stored.text is None:
        click.echo(f'service/{name}: no such document', err=True)
        sys.exit(EXIT_FAILED)
    click.echo(f'version {stored.version}', err=True)
    click.echo(msgspec.json.format(stored.text, indent=2).decode())


@service.command(name='list')
@click.pass_obj
def list_services(console: Console) -> None:
    """List the services and their versions."""
    documents = unwrap_or_exit(
        run_async(partial(console.operations.list_documents, 'service')),
    )
    for stored in sorted(documents, key=lambda document: document.name):
        console.print(
            {'name': stored.name, 'version': stored.version},
            f'{stored.name:<{_NAME_COLUMN_WIDTH}} version {stored.version}',
        )


main.add_command(check)


def _make_switch(scope: str, state: str, target: str) -> click.Command:
    @click.command(name=state, help=f'Switch {target} {state}.')
    @click.argument('name')
    @click.pass_obj
    def switch(console: Console, name: str) -> None:
        out = state == 'out'
        call = partial(console.operations.switch, scope, name, out=out)
        console.report_change('switch', run_async(call))

    return switch


def _add_switch_group(scope: str, description: str) -> None:
    @main.group(name=scope, help=f'{description} in and out of service.')
    def group() -> None:
        """Group the commands of one scope."""

    for state in ('out', 'in'):
        group.add_command(_make_switch(scope, state, description.lower()))

    @group.command(name='status', help='Show the state of each switch.')
    @click.pass_obj
    def show_status(console: Console) -> None:
        documents = unwrap_or_exit(
            run_async(partial(console.operations.list_documents, 'switch')),
        )
        for stored in documents:
            if stored.name.startswith(f'{scope}-') and stored.text:
                name = stored.name.removeprefix(f'{scope}-')
                switch_state = json.loads(stored.text)['state']
                console.print(
                    {'name': name, 'state': switch_state},
                    f'{name:<{_NAME_COLUMN_WIDTH}} {switch_state}',
                )


_add_switch_group('domain', 'A failure domain')
_add_switch_group('vm', 'An entry VM')


@main.command()
@click.pass_obj
def status(console: Console) -> None:
    """Show the version in force on each entry VM, and which VMs lag."""
    reports = run_async(console.read_reports)
    newest_version = max(
        (
            vm_report.status.configuration_version
            for vm_report in reports
            if vm_report.status
        ),
        default=0,
    )
    for report in reports:
        vm_status = report.status
        if vm_status is None:
            line = 'does not answer'
        else:
            lag = newest_version - vm_status.configuration_version
            line = (
                f'version {vm_status.configuration_version} '
                f'{"LAGS" if lag else "current"}, '
                f'{len(vm_status.owned)} servers, '
                f'session {"valid" if vm_status.session_valid else "LAPSED"}'
                f'{", leaving" if vm_status.draining else ""}'
            )
        console.print(
            {
                'vm': report.vm,
                'status': msgspec.to_builtins(vm_status) if vm_status else None,
            },
            f'{report.vm:<{_NAME_COLUMN_WIDTH}} {line}',
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
    """Show the decisions behind the response to REQUEST_ID from LOGS."""
    for line in explain_lines(request_id, logs):
        click.echo(line)


def _show_diff(console: Console, name: str, text: bytes, source: str) -> None:
    stored = unwrap_or_exit(
        run_async(partial(console.operations.show, 'service', name))
    )
    old = b'{}' if stored is None or stored.text is None else stored.text
    lines = difflib.unified_diff(
        msgspec.json.format(old).decode().splitlines(),
        msgspec.json.format(text).decode().splitlines(),
        f'service/{name}',
        source,
        lineterm='',
    )
    click.echo('\n'.join(lines) or 'no change')
