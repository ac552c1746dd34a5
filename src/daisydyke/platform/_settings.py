"""Settings file that the platform writes for each gateway process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from .._backends._cold_admission import ColdLimits
from .._backends._extra_load import ExtraLoadLimits
from .._domain._model import Address
from .._quotas._limits import QuotaLimits
from .._rollouts._model import ExposureLimits
from .._settings._documents import Share, decode, parse_address
from ..exceptions import InvalidDocumentError

_MS_PER_S = 1000
_BYTES_PER_MB = 1048576
_MAXIMUM_FILE_BYTES = 1048576
# Name of the contract with which connections to servers are few.
_SHARED_CONNECTIONS = 'pool'
# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200

_NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class _Listen(msgspec.Struct):
    front: str
    readiness: str
    directory: str


class _Bounds(msgspec.Struct):
    # ExtraLoadLimits, ColdLimits, QuotaLimits and NodeSettings describe these
    # values.
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    warmup_excess: float = 1
    warmup_slack: float = 0
    grace_s: float = 6
    ttl_max_s: float = 5
    config_apply_ms: float = 5000
    # Set only where the rates of customers are limited.
    quota_window_s: Annotated[float, msgspec.Meta(gt=0)] | None = None
    quota_excess: _NotNegative = 0
    quota_slack: _NotNegative = 0
    # Only where services are rolled out.
    exposure_share: Share | None = None
    exposure_slack: _NotNegative = 0
    rollback_ms: _NotNegative = 5000


class _Machine(msgspec.Struct):
    # Share of one core that the process gets.
    cpu_share: float = 1
    # Factor on the speed of that core; the process still has a single core.
    cpu_cores: float = 1
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 256
    # Descriptors of files and sockets together.
    max_fds: Annotated[int, msgspec.Meta(gt=_FILE_DESCRIPTORS)] = 1024


class _Store(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen_addrs: _Listen
    internal_ports: tuple[int, int]
    platform: _Store
    # Names of the contracts that are in force.
    contracts: tuple[str, ...] = ()
    # Set only for the first start of the whole system.
    bootstrap: bool = False
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Machine = msgspec.field(default_factory=_Machine)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one gateway process, decoded from the platform's file.

    Parameters:
        vm: name of this VM.
        domain: failure domain of this VM.
        callers: address to listen on for callers' requests.
        readiness: address to listen on for the platform's readiness checks.
        directory: address to listen on for callers' queries for entry VM
            addresses.
        gossip: address to listen on for gossip datagrams of other VMs.
        peers: address to listen on for connections of other VMs.
        store: address of the platform's store.
        extra_load: limit on the hedges and retries of all VMs together.
        cold: limit on the requests of all VMs together to a cold server.
        grace_s: seconds from SIGTERM to SIGKILL.
        maximum_ttl_s: longest time in seconds for which callers cache an
            address.
        speed: processing speed of a process on this VM; 1 is a whole core.
        memory_bytes: memory that the process may use.
        sockets: sockets that the process may open.
        first_start: whether all VMs start together, none having run before.
        change_s: seconds within which a change of the configuration has to be
            in force.
        quota: tolerance of customers' rate limits; None if there are none.
        shares_load: whether this VM tells others the load of servers, and
            chooses servers and admits requests by load. That is worth its
            messages where connections to servers are few.
        rollouts: limits on the requests to new versions; None where services
            are not rolled out.
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
    memory_bytes: int
    sockets: int
    first_start: bool
    change_s: float = 5
    quota: QuotaLimits | None = None
    shares_load: bool = False
    rollouts: ExposureLimits | None = None

    @property
    def reports(self) -> Address:
        """Address to listen on for the reports of other VMs."""
        return Address(self.peers.host, self.peers.port + 1)


def load_node_settings(
    path: Path,
) -> Result[NodeSettings, InvalidDocumentError]:
    """Read and check the settings file; unknown members are ignored.

    Returns:
        The settings, or a failure that names the file and the fault.
    """
    try:
        with path.open('rb') as stream:
            text = stream.read(_MAXIMUM_FILE_BYTES + 1)
    except OSError as error:
        reason = error.strerror or 'file cannot be read'
        return Failure(InvalidDocumentError(str(path), '$', reason))
    if len(text) > _MAXIMUM_FILE_BYTES:
        reason = f'file is larger than {_MAXIMUM_FILE_BYTES} bytes'
        return Failure(InvalidDocumentError(str(path), '$', reason))
    return decode(text, _Settings, str(path)).bind(
        lambda settings: _to_node_settings(settings, str(path)),
    )


def _to_node_settings(
    settings: _Settings,
    source: str,
) -> Result[NodeSettings, InvalidDocumentError]:
    try:
        return Success(_convert(settings))
    except ValueError as error:
        return Failure(
            InvalidDocumentError(source, '$.listen_addrs', str(error)),
        )
    except OverflowError as error:
        return Failure(
            InvalidDocumentError(source, '$.limits.memory_mb', str(error)),
        )


def _convert(settings: _Settings) -> NodeSettings:
    bounds = settings.bounds
    first_port = settings.internal_ports[0]
    return NodeSettings(
        settings.node_name,
        settings.zone,
        parse_address(settings.listen_addrs.front),
        parse_address(settings.listen_addrs.readiness),
        parse_address(settings.listen_addrs.directory),
        Address(settings.ip, first_port),
        Address(settings.ip, first_port + 1),
        parse_address(settings.platform.address),
        ExtraLoadLimits(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
        ),
        ColdLimits(bounds.warmup_excess, bounds.warmup_slack),
        bounds.grace_s,
        bounds.ttl_max_s,
        settings.limits.cpu_share * settings.limits.cpu_cores,
        int(settings.limits.memory_mb * _BYTES_PER_MB),
        settings.limits.max_fds - _FILE_DESCRIPTORS,
        settings.bootstrap,
        bounds.config_apply_ms / _MS_PER_S,
        _to_quota_limits(bounds),
        _SHARED_CONNECTIONS in settings.contracts,
        _to_exposure_limits(bounds),
    )


def _to_quota_limits(bounds: _Bounds) -> QuotaLimits | None:
    if bounds.quota_window_s is None:
        return None
    return QuotaLimits(
        bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack
    )


def _to_exposure_limits(bounds: _Bounds) -> ExposureLimits | None:
    if bounds.exposure_share is None:
        return None
    return ExposureLimits(
        bounds.exposure_share,
        bounds.exposure_slack,
        bounds.rollback_ms / _MS_PER_S,
    )
