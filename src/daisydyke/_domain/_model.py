"""Value types shared by the whole package."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

# Names in lower case and values of HTTP header fields.
HeaderFields = tuple[tuple[bytes, bytes], ...]


class Outcome(StrEnum):
    """What became of a request, as told to its caller."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Failure(StrEnum):
    """Why a sub-request gave no answer."""

    COLD = 'cold'
    DRAINING = 'draining'
    FENCED = 'fenced'
    LATE = 'late'
    LOST = 'lost'
    OUT_OF_SERVICE = 'out_of_service'
    SHED = 'shed'
    VERSION_GONE = 'version_gone'


class ServerPhase(StrEnum):
    """What the owner of a backend server lets it bear."""

    COLD = 'cold'
    WARM = 'warm'
    DRAINING = 'draining'
    LOST = 'lost'


@dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """Half-open range of the key space, ``start <= key < end``."""

    start: int
    end: int

    @property
    def width(self) -> int:
        """Number of keys in the range."""
        return self.end - self.start

    def covers(self, other: KeyRange) -> bool:
        """Tell whether every key of ``other`` lies in this range."""
        return self.start <= other.start and other.end <= self.end


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port of a process."""

    host: str
    port: int

    def __str__(self) -> str:
        """Render as ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """One backend server as the team's document names it."""

    address: Address
    domain: str

    @property
    def server_id(self) -> str:
        """Identifier used in leases, logs and messages."""
        return str(self.address)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A team's service, validated.

    Parameters:
        keys: size of the key space, keys are ``0 <= key < keys``.
        slots: requests that one server may run at the same time.
        connections: connections that one server accepts.
        minimum_coverage: least share of keys an answer may cover, 0 to 1.
        cold_rate: requests a second that a cold server can bear.
        extra_share: hedges and retries allowed as a share of first attempts.
    """

    name: str
    keys: int
    servers: tuple[ServerSpec, ...]
    slots: int
    connections: int
    minimum_coverage: float = 0
    cold_rate: float = 5
    extra_share: float = 0.02


@dataclass(frozen=True, slots=True)
class ServerState:
    """What is known of a server's instance and of the indexes it serves.

    Parameters:
        instance: identifier that changes whenever the server starts.
        indexes: ranges served, by index version.
    """

    instance: str
    phase: ServerPhase
    indexes: dict[int, tuple[KeyRange, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Segment:
    """A range that one sub-request covers and the servers that hold it."""

    keys: KeyRange
    candidates: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """The sub-requests of one query, all on one index version."""

    snapshot: int
    segments: tuple[Segment, ...]
    gaps: tuple[KeyRange, ...]


@dataclass(frozen=True, slots=True)
class RequestContext:
    """What all sub-requests of one request share.

    Parameters:
        deadline: monotonic time in seconds on this VM.
        parameters: caller's parameters as JSON text.
        idempotency_key: set for a request that must run at most once.
    """

    request_id: str
    service: str
    snapshot: int
    deadline: float
    parameters: bytes
    idempotency_key: str = ''


@dataclass(frozen=True, slots=True)
class SubRequest:
    """One attempt at one segment on one backend server.

    Parameters:
        wait_if_cold: wait for a cold server's turn rather than be refused.
    """

    sub_id: int
    server_id: str
    keys: KeyRange
    context: RequestContext
    wait_if_cold: bool = False


@dataclass(frozen=True, slots=True)
class SubAnswer:
    """Rows of one segment, as JSON text of an array."""

    rows: bytes
    instance: str


@dataclass(frozen=True, slots=True)
class SubFailure:
    """Why a sub-request gave no rows.

    Parameters:
        sent: whether a byte of it may have reached the backend server.
    """

    reason: Failure
    sent: bool


@dataclass(frozen=True, slots=True)
class Holder:
    """A process that holds part of a server's limits.

    Parameters:
        vm: name of its VM.
        start: identifies the process among those of the VM; rises.
    """

    vm: str
    start: int


@dataclass(frozen=True, slots=True)
class Lease:
    """Who may use a backend server's slots.

    Parameters:
        holder: may use the rest while its session is valid.
        floor_holder: may use the floor, with or without the platform.
        version: platform version of the lease.
    """

    server_id: str
    holder: Holder
    floor_holder: Holder
    version: int


def floor_slots(slots: int) -> int:
    """Slots of a server that belong to the floor of its lease."""
    return (slots + 1) // 2
