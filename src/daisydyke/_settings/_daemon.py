"""Settings file of the entry daemon."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result

from ..exceptions import InvalidDocumentError
from ._documents import AddressText, Name, decode

_MAXIMUM_PORT = 65535
_MAXIMUM_ADDRESS_KEEP_MS = 2000

Port = Annotated[int, msgspec.Meta(ge=1, le=_MAXIMUM_PORT)]
HostText = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+$')]
Seconds = Annotated[float, msgspec.Meta(gt=0)]


class LeaseSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Timing of sessions and leases; must be equal on all entry VMs.

    Parameters:
        session_ttl_s: time for which a renewal keeps a session valid.
        drift_margin_s: allowance for clock drift between VMs.
        longest_request_s: longest time that a request runs on a server.
    """

    session_ttl_s: Seconds = 15.0
    drift_margin_s: Seconds = 1.0
    longest_request_s: Seconds = 2.0


class RoutingSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Policies of replica choice and hedging.

    The values other than the defaults are baselines for measurements.
    """

    choice: Literal['latency', 'outstanding', 'random'] = 'latency'
    hedge: Literal['estimated', 'fixed', 'none'] = 'estimated'


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of an entry daemon.

    Parameters:
        vm: name of the VM on which the daemon runs.
        domain: failure domain of the VM.
        host: IP address on which the daemon listens.
        seeds: hosts of entry VMs to contact in addition to those that the
            platform lists, so that a VM which starts while the platform is
            unavailable finds the others.
        address_keep_ms: time for which callers may keep the addresses of
            entry VMs.
    """

    vm: Name
    domain: Name
    host: HostText
    platform: AddressText
    caller_port: Port = 8080
    peer_port: Port = 8081
    gossip_port: Port = 8082
    statsd: AddressText | None = None
    seeds: list[HostText] = msgspec.field(default_factory=list)
    address_keep_ms: Annotated[
        int, msgspec.Meta(ge=100, le=_MAXIMUM_ADDRESS_KEEP_MS)
    ] = 2000
    routing: RoutingSettings = msgspec.field(default_factory=RoutingSettings)
    lease: LeaseSettings = msgspec.field(default_factory=LeaseSettings)


def load_entry_settings(
    path: Path,
) -> Result[EntrySettings, InvalidDocumentError]:
    """Read and validate a settings file."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Failure(
            InvalidDocumentError(
                str(path), '$', error.strerror or 'unreadable'
            ),
        )
    return decode(text, EntrySettings, str(path))
