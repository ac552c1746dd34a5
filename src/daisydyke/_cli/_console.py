"""What the operators' commands share: the platform, printing, exit codes."""

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
from .._domain._model import Address
from .._operations._operations import (
    AcceptedChange,
    NodeReport,
    Operations,
    wait_in_force,
)
from .._queries._callers import StatusBody
from .._settings._documents import parse_address
from ..exceptions import (
    DaisydykeError,
    InvalidDocumentError,
    VersionConflictError,
)

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 5
_STATUS_TIMEOUT_S = 1.0
_IN_FORCE_S = 6.0


class Console:
    """The platform that commands talk to and how they print.

    Parameters:
        caller_port: port on which the entry VMs serve callers.
    """

    def __init__(
        self,
        platform: str | None,
        caller_port: int,
        output: str,
    ) -> None:
        """Keep the options; nothing is connected."""
        self._output = output
        self._caller_port = caller_port
        self._address = platform

    @property
    def operations(self) -> Operations:
        """Operations on the platform.

        Raises:
            click.UsageError: no platform is given.
        """
        return Operations(self._platform(), RuntimeClock())

    def print(self, fields: dict[str, Any], text: str) -> None:
        """Print for people or, if asked for, as one JSON object."""
        if self._output == 'json':
            click.echo(json.dumps(fields))
        else:
            click.echo(text)

    async def statuses(self) -> list[NodeReport]:
        """Ask every VM on the platform's list what is in force there."""
        listed = (await self._platform().list_vms()).value_or(())
        reports = []
        for record in listed:
            address = Address(record.address, self._caller_port)
            status = await _read_status(address)
            reports.append(NodeReport(record.name, address, status))
        return reports

    def finish(
        self, kind: str, outcome: Result[AcceptedChange, DaisydykeError]
    ) -> None:
        """Print an accepted change and wait until it is in force."""
        change = unwrap(outcome)
        key = f'{kind}/{change.name}'
        word = 'accepted' if change.changed else 'unchanged'
        click.echo(f'{key}: {word} at version {change.version}', err=True)
        lagging = curio.run(
            wait_in_force,
            self.statuses,
            key,
            change.version,
            _IN_FORCE_S,
        )
        self.print(
            {
                'document': key,
                'result': word,
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
        if self._address is None:
            raise click.UsageError('--platform or DAISYDYKE_PLATFORM needed')
        return HttpPlatform(parse_address(self._address))


async def _read_status(address: Address) -> StatusBody | None:
    connection = HttpConnection(address)
    try:
        async with curio.timeout_after(_STATUS_TIMEOUT_S):
            response = await connection.request(
                HttpRequest('GET', '/v1/status'),
            )
        return msgspec.json.decode(response.body, type=StatusBody)
    except (DaisydykeError, curio.TaskTimeout, msgspec.MsgspecError):
        return None
    finally:
        await connection.close()


def unwrap(outcome: Result[Any, DaisydykeError]) -> Any:
    """Return a result, or print its error and exit with the error's code."""
    if isinstance(outcome, Success):
        return outcome.unwrap()
    error = outcome.failure()
    click.echo(f'{error.code}: {error}', err=True)
    if isinstance(error, InvalidDocumentError):
        sys.exit(EXIT_INVALID)
    if isinstance(error, VersionConflictError):
        sys.exit(EXIT_CONFLICT)
    sys.exit(EXIT_FAILED)
