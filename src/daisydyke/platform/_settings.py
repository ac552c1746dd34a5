"""Settings file that the platform writes for each process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from .._backends._cold_admission import ColdLimits
from .._backends._extra_load import ExtraLoadLimits
from .._domain._model import Address
from .._settings._documents import decode, parse_address
from ..exceptions import InvalidDocumentError


class _Listen(msgspec.Struct):
    front: str
    readiness: str
    directory: str


class _Bounds(msgspec.Struct):
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    warmup_excess: float = 1
    warmup_slack: float = 0
    grace_s: float = 6
    ttl_max_s: float = 5


class _Machine(msgspec.Struct):
    # Part of one core that a process gets.
    cpu_share: float = 1
    # Factor on the speed of that core; a process still has but one.
    cpu_cores: float = 1


class _Store(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen_addrs: _Listen
    internal_ports: tuple[int, int]
    platform: _Store
    # True only when the whole system starts for the first time.
    bootstrap: bool = False
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Machine = msgspec.field(default_factory=_Machine)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process is told about itself, its peers and its platform.

    Parameters:
        callers: where callers send requests.
        readiness: where the platform asks whether this process is ready.
        directory: where callers ask which addresses to use.
        gossip: where other VMs send datagrams.
        peers: where other VMs connect.
        grace_s: seconds from SIGTERM to SIGKILL.
        maximum_ttl_s: seconds for which callers keep an address at most.
        speed: how fast a process runs, 1 for a whole core.
        first_start: whether all VMs start together, none having run before.
    """

    vm: str
    domain: str
    callers: Address
    readiness: Address
    directory: Address
    gossip: Address
    peers: Address
    store: Address
    extra_load: ExtraLoadLimits
    cold: ColdLimits
    grace_s: float
    maximum_ttl_s: float
    speed: float
    first_start: bool


def load_node_settings(
    path: Path,
) -> Result[NodeSettings, InvalidDocumentError]:
    """Read and check the settings file; unknown members are ignored."""
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = error.strerror or 'unreadable'
        return Failure(InvalidDocumentError(str(path), '$', reason))
    return decode(text, _Settings, str(path)).bind(
        lambda found: _to_node_settings(found, str(path)),
    )


def _to_node_settings(
    found: _Settings,
    source: str,
) -> Result[NodeSettings, InvalidDocumentError]:
    try:
        return Success(_convert(found))
    except ValueError as error:
        return Failure(
            InvalidDocumentError(source, '$.listen_addrs', str(error)),
        )


def _convert(found: _Settings) -> NodeSettings:
    bounds = found.bounds
    first_port = found.internal_ports[0]
    return NodeSettings(
        found.node_name,
        found.zone,
        parse_address(found.listen_addrs.front),
        parse_address(found.listen_addrs.readiness),
        parse_address(found.listen_addrs.directory),
        Address(found.ip, first_port),
        Address(found.ip, first_port + 1),
        parse_address(found.platform.address),
        ExtraLoadLimits(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
        ),
        ColdLimits(bounds.warmup_excess, bounds.warmup_slack),
        bounds.grace_s,
        bounds.ttl_max_s,
        found.limits.cpu_share * found.limits.cpu_cores,
        found.bootstrap,
    )
