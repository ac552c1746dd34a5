"""Decoding of the documents that are kept in the platform's store."""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

from .._backends._server import ServerRecord
from .._checks._outline import ConfigurationOutline
from .._ports import StoredObject
from .._requests._model import (
    CallerLimits,
    Customer,
    Route,
    ServicePolicy,
    WeightedService,
)
from .._requests._routes import RoutingTable
from .._settings._documents import AddressText, Share, decode, parse_address
from ..exceptions import InvalidDocumentError
from ._customers import (
    CustomerDocument,
    find_conflict,
    index_customers,
    outline_customer,
)

CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
SERVER_KIND = 'servers'
# One object for each failure domain whose servers get no requests.
EXCLUDED_DOMAIN_KIND = 'evacuations'

_MS_PER_S = 1000
# Requests to a server name it in a header field.
_SERVER_ID = re.compile('[!-~]+')

# Whole numbers that convert to floats without loss.
_MAXIMUM_INT = 9_007_199_254_740_992
Int = Annotated[int, msgspec.Meta(ge=-_MAXIMUM_INT, le=_MAXIMUM_INT)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=_MAXIMUM_INT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
# Sums and products of a few of them are finite.
Number = Annotated[float, msgspec.Meta(le=_MAXIMUM_INT)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
PathPrefix = Annotated[str, msgspec.Meta(pattern='^/(.*/)?$')]


class _SplitEntry(msgspec.Struct):
    service: NonEmptyText
    weight: Annotated[float, msgspec.Meta(ge=0, le=_MAXIMUM_INT)]


class _Route(msgspec.Struct):
    name: NonEmptyText
    host: NonEmptyText
    path_prefix: PathPrefix
    route_type: Literal['idempotent', 'non_idempotent']
    timeout_ms: Milliseconds
    # Latency within which an answer is of full value; not a limit.
    target_latency_ms: Milliseconds
    priority: Int = 0
    max_attempts: PositiveInt = 1
    service: str | None = None
    traffic_split: list[_SplitEntry] = msgspec.field(default_factory=list)
    # Services that each hold one shard and contribute a part of the answer.
    gather: list[str] = msgspec.field(default_factory=list)
    top_k: Int = 0
    min_shard_share: Share = 0
    # Whether callers need no key.
    auth_exempt: bool = False


class _Service(msgspec.Struct):
    name: NonEmptyText
    max_connections: PositiveInt = 1
    # Seconds for which a server is cold after its start.
    warmup_s: float = 0
    # Requests per second that a cold server accepts; 0 for no limit.
    warmup_per_s: Number = 0


class _Limits(msgspec.Struct):
    max_header_bytes: PositiveInt = 16384
    max_body_bytes: PositiveInt = 262144
    header_timeout_ms: PositiveInt = 10000
    idle_timeout_ms: PositiveInt = 60000


class _Configuration(msgspec.Struct):
    version: Int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Without this member callers need no keys.
    tenants: list[CustomerDocument] | None = None


class _Server(msgspec.Struct):
    service: NonEmptyText
    address: AddressText
    zone: NonEmptyText
    # Requests that the server runs concurrently.
    capacity: PositiveInt
    state: Literal['ready', 'draining']
    warmup_left_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAXIMUM_INT)] = 0
    # Start time of the server process in Unix milliseconds; 0 if unknown.
    born: Int = 0
    # Version of the server's software.
    version: str = ''


def decode_configuration(
    stored: StoredObject,
) -> Result[RoutingTable, InvalidDocumentError]:
    """Decode the operator's configuration into a routing table.

    Returns:
        A failure that names the object and the JSON path if the document is
        invalid, has a route whose requests no service could be chosen for or
        customers that cannot be told apart, or the object was deleted.
    """
    source = f'{stored.kind}/{stored.name}'
    return _decode_valid(stored.text or b'', source).map(_to_table)


def decode_outline(
    text: bytes, source: str
) -> Result[ConfigurationOutline, InvalidDocumentError]:
    """Decode a configuration into all its entries.

    Parameters:
        source: where the text is from, for errors.

    Returns:
        A failure in the cases in which ``decode_configuration`` fails.
    """
    return _decode_valid(text, source).map(_to_outline)


def decode_server(
    stored: StoredObject,
) -> Result[ServerRecord, InvalidDocumentError]:
    """Decode a backend server's registration.

    Returns:
        A record whose identifier is the name of the stored object, or a
        failure that names the object and the JSON path if the document is
        invalid, the name cannot be sent to the server, or the object was
        deleted.
    """
    source = f'{stored.kind}/{stored.name}'
    if _SERVER_ID.fullmatch(stored.name) is None:
        return Failure(
            InvalidDocumentError(
                source, '$.meta.name', 'must be visible ASCII characters'
            )
        )
    decoded = decode(stored.text or b'', _Server, source)
    return decoded.map(lambda server: _to_record(server, stored.name))


def _decode_valid(
    text: bytes, source: str
) -> Result[_Configuration, InvalidDocumentError]:
    return (
        decode(text, _Configuration, source)
        .bind(lambda configuration: _check_routes(configuration, source))
        .bind(lambda configuration: _check_customers(configuration, source))
    )


def _check_routes(
    configuration: _Configuration, source: str
) -> Result[_Configuration, InvalidDocumentError]:
    for index, route in enumerate(configuration.routes):
        path = f'$.routes[{index}]'
        if not (route.gather or route.service or route.traffic_split):
            return Failure(
                InvalidDocumentError(source, path, 'names no service')
            )
        if _is_split_without_weight(route):
            return Failure(
                InvalidDocumentError(
                    source,
                    f'{path}.traffic_split',
                    'a weight must be greater than 0',
                )
            )
    return Success(configuration)


def _check_customers(
    configuration: _Configuration, source: str
) -> Result[_Configuration, InvalidDocumentError]:
    conflict = find_conflict(configuration.tenants or ())
    if conflict is None:
        return Success(configuration)
    return Failure(InvalidDocumentError(source, *conflict))


def _is_split_without_weight(route: _Route) -> bool:
    if route.gather or route.service or len(route.traffic_split) == 1:
        return False
    return not any(entry.weight for entry in route.traffic_split)


def _to_record(server: _Server, server_id: str) -> ServerRecord:
    return ServerRecord(
        server_id,
        server.service,
        parse_address(server.address),
        server.zone,
        server.capacity,
        server.state == 'draining',
        server.warmup_left_ms / _MS_PER_S,
        server.born,
        server.version,
    )


def _to_table(configuration: _Configuration) -> RoutingTable:
    return RoutingTable(
        configuration.version,
        map(_to_route, configuration.routes),
        {
            service.name: _to_policy(service)
            for service in configuration.services
        },
        _to_limits(configuration.limits),
        _to_customers(configuration),
    )


def _to_outline(configuration: _Configuration) -> ConfigurationOutline:
    customers = None
    if configuration.tenants is not None:
        customers = tuple(map(outline_customer, configuration.tenants))
    return ConfigurationOutline(
        configuration.version,
        tuple(map(_to_route, configuration.routes)),
        tuple(map(_to_policy, configuration.services)),
        _to_limits(configuration.limits),
        customers,
    )


def _to_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / _MS_PER_S,
        limits.idle_timeout_ms / _MS_PER_S,
    )


def _to_customers(
    configuration: _Configuration,
) -> dict[bytes, Customer] | None:
    if configuration.tenants is None:
        return None
    return index_customers(configuration.tenants)


def _to_policy(service: _Service) -> ServicePolicy:
    return ServicePolicy(
        service.name,
        service.max_connections,
        service.warmup_per_s,
        service.warmup_s,
    )


def _to_route(route: _Route) -> Route:
    services = [
        WeightedService(entry.service, entry.weight)
        for entry in route.traffic_split
    ]
    if route.service:
        services = [WeightedService(route.service, 1)]
    return Route(
        route.name,
        route.host,
        route.path_prefix,
        route.route_type == 'idempotent',
        route.timeout_ms / _MS_PER_S,
        route.target_latency_ms / _MS_PER_S,
        route.priority,
        route.max_attempts,
        tuple(services),
        tuple(route.gather),
        route.top_k,
        route.min_shard_share,
        route.auth_exempt,
    )
