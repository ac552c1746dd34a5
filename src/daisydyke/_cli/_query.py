"""A caller's command line: one query through the address answer."""

from __future__ import annotations

import sys

import click
import curio
import msgspec

from .._adapters._http_client import HttpConnection, HttpRequest, HttpResponse
from .._queries._callers import AddressesBody, QueryRequest
from .._settings._documents import parse_address
from ..exceptions import DaisydykeError

_EXIT_FAILED = 1
_TIMEOUT_S = 5.0
DEFAULT_DEADLINE_MS = 250
_FIRST_ERROR_STATUS = 400


async def _call(address: str, request: HttpRequest) -> HttpResponse:
    connection = HttpConnection(parse_address(address))
    try:
        async with curio.timeout_after(_TIMEOUT_S):
            return await connection.request(request)
    finally:
        await connection.close()


async def send_query(entry: str, query: QueryRequest) -> HttpResponse:
    """Ask one entry VM for addresses and send a query to the first."""
    answer = await _call(entry, HttpRequest('GET', '/v1/addresses'))
    given = msgspec.json.decode(answer.body, type=AddressesBody).addresses
    use = given[0].address if given else entry
    body = msgspec.json.encode(query)
    return await _call(use, HttpRequest('POST', '/v1/query', body))


@click.command()
@click.argument('entry')
@click.argument('service')
@click.option('--deadline-ms', default=DEFAULT_DEADLINE_MS, show_default=True)
@click.option('--parameters', default='{}', help='JSON for the servers.')
def main(
    entry: str,
    service: str,
    deadline_ms: int,
    parameters: str,
) -> None:
    """Send a query to SERVICE by way of the entry VM at ENTRY."""
    query = QueryRequest(
        service,
        deadline_ms,
        msgspec.Raw(parameters.encode()),
        detail=True,
    )
    try:
        response = curio.run(send_query, entry, query)
    except (DaisydykeError, curio.TaskTimeout) as error:
        click.echo(f'{entry}: {error}', err=True)
        sys.exit(_EXIT_FAILED)
    click.echo(msgspec.json.format(response.body, indent=2).decode())
    if response.status >= _FIRST_ERROR_STATUS:
        sys.exit(_EXIT_FAILED)
