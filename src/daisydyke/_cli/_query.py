"""Command line for callers, which sends one query."""

from __future__ import annotations

import sys

import click
import curio
import msgspec

from .._adapters._http_client import HttpConnection, HttpRequest, HttpResponse
from .._queries._caller_bodies import AddressesBody, QueryRequest
from .._settings._documents import parse_address
from ..exceptions import DaisydykeError

_EXIT_FAILED = 1
_REQUEST_TIMEOUT_S = 5.0
DEFAULT_DEADLINE_MS = 250
_MINIMUM_ERROR_STATUS = 400


async def _call(address: str, request: HttpRequest) -> HttpResponse:
    connection = HttpConnection(parse_address(address))
    try:
        async with curio.timeout_after(_REQUEST_TIMEOUT_S):
            return await connection.request(request)
    finally:
        await connection.close()


async def send_query(entry: str, query: QueryRequest) -> HttpResponse:
    """Send a query to the first address that an entry VM returns.

    The query goes to the entry VM itself if it returns no address.

    Parameters:
        entry: address of the entry VM, HOST:PORT.
        query: query to send.

    Raises:
        DaisydykeError: a request failed.
        curio.TaskTimeout: a request was not answered in time.
    """
    address_response = await _call(entry, HttpRequest('GET', '/v1/addresses'))
    addresses = msgspec.json.decode(
        address_response.body, type=AddressesBody
    ).addresses
    target = addresses[0].address if addresses else entry
    body = msgspec.json.encode(query)
    return await _call(target, HttpRequest('POST', '/v1/query', body))


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
    """Send a query to SERVICE, with addresses from the entry VM at ENTRY."""
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
    if response.status >= _MINIMUM_ERROR_STATUS:
        sys.exit(_EXIT_FAILED)
