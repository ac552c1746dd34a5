"""Documents that the operator and the backend servers keep in the store."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

from .._backends._server import ServerRecord
from .._domain._model import Address
from .._ports import StoredObject
from .._requests._model import (
    CallerLimits,
    Route,
    ServicePolicy,
    WeightedService,
)
from .._requests._routes import RoutingTable
from .._settings._documents import decode, parse_address
from ..exceptions import InvalidDocumentError

CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
SERVER_KIND = 'servers'
EXCLUDED_DOMAIN_KIND = 'evacuations'

_MS = 1000

Count = Annotated[int, msgspec.Meta(ge=1)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
Text = Annotated[str, msgspec.Meta(min_length=1)]
Prefix = Annotated[str, msgspec.Meta(pattern='^/(.*/)?$')]


class _Split(msgspec.Struct):
    service: Text
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct):
    name: Text
    host: Text
    path_prefix: Prefix
    route_type: Literal['idempotent', 'non_idempotent']
    timeout_ms: Milliseconds
    # Time within which an answer earns its full worth, not a hard limit.
    target_latency_ms: Milliseconds
    priority: int = 0
    max_attempts: Count = 1
    service: str | None = None
    traffic_split: list[_Split] = msgspec.field(default_factory=list)
    # Services that each hold one shard; every one contributes to an answer.
    gather: list[str] = msgspec.field(default_factory=list)
    top_k: int = 0
    min_shard_share: float = 0


class _Service(msgspec.Struct):
    name: Text
    max_connections: Count = 1
    # Seconds for which a server is cold, and what it bears meanwhile.
    warmup_s: float = 0
    warmup_per_s: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: Count = 16384
    max_body_bytes: Count = 262144
    header_timeout_ms: Count = 10000
    idle_timeout_ms: Count = 60000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct):
    service: Text
    address: Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:[0-9]+$')]
    zone: Text
    # Requests that the server runs at the same time.
    capacity: Count
    state: Literal['ready', 'draining']
    warmup_left_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    # Unix milliseconds at which this start of the server began.
    born: int = 0


def decode_configuration(
    stored: StoredObject,
) -> Result[RoutingTable, InvalidDocumentError]:
    """Decode the operator's configuration."""
    source = f'{stored.kind}/{stored.name}'
    found = decode(stored.text or b'', _Configuration, source)
    return found.map(_to_table)


def decode_server(
    stored: StoredObject,
) -> Result[ServerRecord, InvalidDocumentError]:
    """Decode a backend server's registration."""
    source = f'{stored.kind}/{stored.name}'
    found = decode(stored.text or b'', _Server, source)
    return found.bind(lambda server: _to_record(server, stored.name, source))


def _to_record(
    server: _Server,
    server_id: str,
    source: str,
) -> Result[ServerRecord, InvalidDocumentError]:
    try:
        address: Address = parse_address(server.address)
    except ValueError as error:
        return Failure(InvalidDocumentError(source, '$.address', str(error)))
    return Success(
        ServerRecord(
            server_id,
            server.service,
            address,
            server.zone,
            server.capacity,
            server.state == 'draining',
            server.warmup_left_ms / _MS,
            server.born,
        ),
    )


def _to_table(found: _Configuration) -> RoutingTable:
    limits = found.limits
    return RoutingTable(
        found.version,
        map(_to_route, found.routes),
        {service.name: _to_policy(service) for service in found.services},
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MS,
            limits.idle_timeout_ms / _MS,
        ),
    )


def _to_policy(service: _Service) -> ServicePolicy:
    return ServicePolicy(
        service.name,
        service.max_connections,
        service.warmup_per_s,
        service.warmup_s,
    )


def _to_route(found: _Route) -> Route:
    services = [
        WeightedService(one.service, one.weight) for one in found.traffic_split
    ]
    if found.service:
        services = [WeightedService(found.service, 1)]
    return Route(
        found.name,
        found.host,
        found.path_prefix,
        found.route_type == 'idempotent',
        found.timeout_ms / _MS,
        found.target_latency_ms / _MS,
        found.priority,
        found.max_attempts,
        tuple(services),
        tuple(found.gather),
        found.top_k,
        found.min_shard_share,
    )
