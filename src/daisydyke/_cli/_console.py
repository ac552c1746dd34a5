"""Platform access, output and exit codes shared by operator commands."""

from __future__ import annotations

import json
import sys
from typing import Any

import click
import curio
import msgspec
from returns.result import Result, Success

from .._adapters._clock import RuntimeClock
from .._adapters._http_client import HttpConnection, HttpRequest
from .._adapters._platform import HttpPlatform
from .._decoding import DECODING_ERRORS
from .._domain._model import Address
from .._operations._operations import (
    AcceptedChange,
    NodeReport,
    Operations,
    wait_in_force,
)
from .._queries._caller_bodies import StatusBody
from .._settings._documents import parse_address
from ..exceptions import (
    DaisydykeError,
    InvalidDocumentError,
    VersionConflictError,
)

_STATUS_ERRORS = (DaisydykeError, curio.TaskTimeout, *DECODING_ERRORS)
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 5
_STATUS_TIMEOUT_S = 1.0
_IN_FORCE_TIMEOUT_S = 6.0


class Console:
    """Platform access and output of the operator commands.

    Parameters:
        platform: address of the object API, HOST:PORT; None if not given.
        caller_port: port on which the entry VMs serve callers.
        output: ``json`` for JSON objects, ``table`` for text.
    """

    def __init__(
        self,
        platform: str | None,
        caller_port: int,
        output: str,
    ) -> None:
        """Store the options without connecting."""
        self._output = output
        self._caller_port = caller_port
        self._platform_address = platform

    @property
    def operations(self) -> Operations:
        """Operations on the platform's documents.

        Raises:
            click.UsageError: no platform address is given.
        """
        return Operations(self._platform(), RuntimeClock())

    def print(self, fields: dict[str, Any], text: str) -> None:
        """Print one output record in the selected format.

        Parameters:
            fields: members of the JSON object.
            text: line for the text format.
        """
        if self._output == 'json':
            click.echo(json.dumps(fields))
        else:
            click.echo(text)

    async def read_reports(self) -> list[NodeReport]:
        """Read the status of every VM that the platform lists.

        Returns:
            One report for each VM; empty if the list cannot be read.

        Raises:
            click.UsageError: no platform address is given.
        """
        vm_records = (await self._platform().list_vms()).value_or(())
        reports = []
        for record in vm_records:
            address = Address(record.address, self._caller_port)
            status = await _read_status(address)
            reports.append(NodeReport(record.name, address, status))
        return reports

    def report_change(
        self, kind: str, outcome: Result[AcceptedChange, DaisydykeError]
    ) -> None:
        """Print an accepted change and wait until it is in force.

        Exits with the error's code if the change failed, and with
        ``EXIT_NOT_IN_FORCE`` if a VM lags after the wait.

        Parameters:
            kind: kind of the changed document.
            outcome: result of the change.
        """
        change = unwrap_or_exit(outcome)
        key = f'{kind}/{change.name}'
        result = 'accepted' if change.changed else 'unchanged'
        click.echo(f'{key}: {result} at version {change.version}', err=True)
        lagging = curio.run(
            wait_in_force,
            self.read_reports,
            key,
            change.version,
            _IN_FORCE_TIMEOUT_S,
        )
        self.print(
            {
                'document': key,
                'result': result,
                'version': change.version,
                'lagging': lagging,
            },
            f'not yet in force on: {", ".join(lagging)}'
            if lagging
            else 'in force on every entry VM',
        )
        if lagging:
            sys.exit(EXIT_NOT_IN_FORCE)

    def _platform(self) -> HttpPlatform:
        if self._platform_address is None:
            raise click.UsageError(
                'no platform given: use --platform or DAISYDYKE_PLATFORM'
            )
        return HttpPlatform(parse_address(self._platform_address))


async def _read_status(address: Address) -> StatusBody | None:
    connection = HttpConnection(address)
    try:
        async with curio.timeout_after(_STATUS_TIMEOUT_S):
            response = await connection.request(
                HttpRequest('GET', '/v1/status'),
            )
        return msgspec.json.decode(response.body, type=StatusBody)
    except _STATUS_ERRORS:
        return None
    finally:
        await connection.close()


def unwrap_or_exit(outcome: Result[Any, DaisydykeError]) -> Any:
    """Return the value of a success; print an error and exit otherwise."""
    if isinstance(outcome, Success):
        return outcome.unwrap()
    error = outcome.failure()
    click.echo(f'{error.code}: {error}', err=True)
    if isinstance(error, InvalidDocumentError):
        sys.exit(EXIT_INVALID)
    if isinstance(error, VersionConflictError):
        sys.exit(EXIT_CONFLICT)
    sys.exit(EXIT_FAILED)
