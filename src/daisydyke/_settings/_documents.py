"""Documents stored in the platform, with their validation."""

from __future__ import annotations

import re
from typing import Annotated, Literal, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from .._decoding import DECODING_ERRORS
from .._domain._model import (
    Address,
    Holder,
    Lease,
    ServerSpec,
    ServiceSpec,
)
from ..exceptions import InvalidDocumentError

_ModelT = TypeVar('_ModelT')
_MSGSPEC_ERROR = re.compile(
    r'(?P<rule>.*?)(?: - at `(?P<path>.*)`)?$', re.DOTALL
)

Name = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_PORT = (
    '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)
AddressText = Annotated[
    str,
    msgspec.Meta(pattern=rf'^{_OCTET}(\.{_OCTET}){{3}}:{_PORT}$'),
]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class ServerModel(msgspec.Struct, forbid_unknown_fields=True):
    """Address and failure domain of a backend server."""

    address: AddressText
    domain: Name


class LimitsModel(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of each backend server of the service.

    Parameters:
        slots: requests that a server may run at the same time.
        connections: connections that a server accepts.
        cold_requests_per_s: request rate that a cold server can handle.
    """

    slots: Positive
    connections: Positive
    cold_requests_per_s: Annotated[float, msgspec.Meta(gt=0)] = 5.0


class AnswersModel(msgspec.Struct, forbid_unknown_fields=True):
    """Coverage required of answers and extra load allowed for them.

    Parameters:
        minimum_coverage: smallest share of the keys that an answer may cover.
        extra_share: hedges and retries allowed, as a share of the first
            attempts.
    """

    minimum_coverage: Share = 0
    extra_share: Share = 0.02


class ServiceDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Configuration of a service, written by its team.

    Parameters:
        keys: size of the key space; keys are ``0 <= key < keys``.
    """

    name: Name
    keys: Positive
    servers: Annotated[list[ServerModel], msgspec.Meta(min_length=1)]
    limits: LimitsModel
    answers: AnswersModel = msgspec.field(default_factory=AnswersModel)


class SwitchDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Whether a failure domain or a VM is in service."""

    state: Literal['in', 'out']


class HolderModel(msgspec.Struct, forbid_unknown_fields=True):
    """Identity of an entry daemon in a lease; see ``Holder``."""

    vm: str
    start: int


class LeaseDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A lease as stored in the platform.

    Parameters:
        nonce: unique for each write.
    """

    holder: HolderModel
    floor: HolderModel
    nonce: str


class SessionDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Session of an entry VM as stored in the platform.

    Parameters:
        start: number of the holder's start; see ``Holder``.
        nonce: unique for each write; it shows whether a write whose outcome
            was unknown has happened.
        fenced: whether another VM has ended the session.
    """

    start: int
    nonce: str
    fenced: bool = False


def decode(
    text: bytes,
    model: type[_ModelT],
    source: str,
) -> Result[_ModelT, InvalidDocumentError]:
    """Decode JSON text into a model.

    Parameters:
        source: name of the file or object, for the error.
    """
    try:
        return Success(msgspec.json.decode(text, type=model))
    except DECODING_ERRORS as error:
        return Failure(_to_document_error(source, str(error)))


def parse_service(
    text: bytes,
    source: str,
) -> Result[ServiceSpec, InvalidDocumentError]:
    """Decode and validate a team's document.

    Parameters:
        source: name of the object, for the error.
    """
    return decode(text, ServiceDocument, source).bind(
        lambda document: _check_service(document, source),
    )


def parse_lease(
    text: bytes,
    server_id: str,
    version: int,
) -> Result[Lease, InvalidDocumentError]:
    """Decode a stored lease.

    Parameters:
        server_id: identifier of the server that the lease is for.
        version: platform version of the stored lease.
    """
    return decode(text, LeaseDocument, f'lease/{server_id}').map(
        lambda document: Lease(
            server_id,
            Holder(document.holder.vm, document.holder.start),
            Holder(document.floor.vm, document.floor.start),
            version,
        ),
    )


def parse_address(text: str) -> Address:
    """Parse ``host:port``; the text must be valid."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def _check_service(
    document: ServiceDocument,
    source: str,
) -> Result[ServiceSpec, InvalidDocumentError]:
    addresses: set[str] = set()
    for index, server in enumerate(document.servers):
        path = f'$.servers[{index}].address'
        if server.address in addresses:
            return Failure(
                InvalidDocumentError(source, path, 'address is listed twice'),
            )
        addresses.add(server.address)
    limits = document.limits
    if limits.connections <= limits.slots:
        return Failure(
            InvalidDocumentError(
                source,
                '$.limits.connections',
                'must be greater than slots',
            ),
        )
    return Success(_to_service_spec(document))


def _to_service_spec(document: ServiceDocument) -> ServiceSpec:
    return ServiceSpec(
        name=document.name,
        keys=document.keys,
        servers=tuple(
            ServerSpec(parse_address(server.address), server.domain)
            for server in document.servers
        ),
        slots=document.limits.slots,
        connections=document.limits.connections,
        minimum_coverage=document.answers.minimum_coverage,
        cold_rate=document.limits.cold_requests_per_s,
        extra_share=document.answers.extra_share,
    )


def _to_document_error(source: str, text: str) -> InvalidDocumentError:
    match = _MSGSPEC_ERROR.match(text)
    if match is None:
        return InvalidDocumentError(source, '$', text)
    return InvalidDocumentError(
        source,
        match['path'] or '$',
        match['rule'],
    )
