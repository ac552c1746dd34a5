"""Value types shared by the whole package."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

# Pairs of lower-case name and value of HTTP header fields.
HeaderFields = tuple[tuple[bytes, bytes], ...]


class Outcome(StrEnum):
    """Whether a request has run, as reported to its caller."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Failure(StrEnum):
    """Reason why a sub-request was not answered.

    Attributes:
        COLD: the sub-request was refused because the server is warming up.
        DRAINING: the server is shutting down.
        FENCED: the VM asked may not use the server.
        LATE: no answer came before the deadline.
        LOST: the server, its owner or the connection is unavailable, or no
            server holds the key range.
        OUT_OF_SERVICE: an operator has taken the failure domain out.
        SHED: the sub-request was refused because of overload.
        VERSION_GONE: the server does not serve the key range in the index
            version.
    """

    COLD = 'cold'
    DRAINING = 'draining'
    FENCED = 'fenced'
    LATE = 'late'
    LOST = 'lost'
    OUT_OF_SERVICE = 'out_of_service'
    SHED = 'shed'
    VERSION_GONE = 'version_gone'


class ServerPhase(StrEnum):
    """Readiness of a backend server, as determined by its owner.

    Attributes:
        COLD: the request rate is limited while the server warms up.
        WARM: the request rate is not limited.
        DRAINING: the server announces that it is shutting down.
        LOST: the server or its owner does not respond.
    """

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
        """Return whether every key of ``other`` lies in this range."""
        return self.start <= other.start and other.end <= self.end


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port on which a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """A backend server as configured in the team's document.

    Parameters:
        domain: failure domain of the server.
    """

    address: Address
    domain: str

    @property
    def server_id(self) -> str:
        """Identifier used in leases, logs and messages."""
        return str(self.address)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A team's service, built from its validated document.

    Parameters:
        keys: size of the key space; keys are ``0 <= key < keys``.
        slots: requests that one server may run at the same time.
        connections: connections that one server accepts.
        minimum_coverage: smallest share of the keys that an answer may
            cover, 0 to 1.
        cold_rate: requests per second that a cold server can handle.
        extra_share: hedges and retries allowed, as a share of the first
            attempts.
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
    """Instance, phase and served indexes of a backend server.

    Parameters:
        instance: identifier that changes whenever the server starts.
        indexes: key ranges served, by index version.
    """

    instance: str
    phase: ServerPhase
    indexes: dict[int, tuple[KeyRange, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Segment:
    """Key range of one sub-request and the servers that can answer it.

    Parameters:
        candidates: identifiers of the servers.
    """

    keys: KeyRange
    candidates: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """Segments of one query, all on the same index version.

    Parameters:
        snapshot: the index version.
        gaps: key ranges that no server serves in this version.
    """

    snapshot: int
    segments: tuple[Segment, ...]
    gaps: tuple[KeyRange, ...]


@dataclass(frozen=True, slots=True)
class RequestContext:
    """Properties shared by all sub-requests of one request.

    Parameters:
        service: name of the service.
        snapshot: index version to use.
        deadline: monotonic time in seconds on this VM.
        parameters: the caller's parameters as JSON text.
        idempotency_key: non-empty for a request that must run at most once.
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
        sub_id: identifier that matches the result to the sub-request.
        wait_if_cold: wait until the ramp of a cold server admits the
            sub-request, deadline permitting, instead of being refused.
    """

    sub_id: int
    server_id: str
    keys: KeyRange
    context: RequestContext
    wait_if_cold: bool = False


@dataclass(frozen=True, slots=True)
class SubAnswer:
    """Answer to a sub-request.

    Parameters:
        rows: rows of the segment, as the JSON text of an array.
        instance: instance of the server that answered.
    """

    rows: bytes
    instance: str


@dataclass(frozen=True, slots=True)
class SubFailure:
    """Failure of a sub-request.

    Parameters:
        sent: whether any byte of the request may have reached the backend
            server.
    """

    reason: Failure
    sent: bool


@dataclass(frozen=True, slots=True)
class Holder:
    """Identity of an entry daemon in leases, sessions and commits.

    Parameters:
        vm: name of the VM on which it runs.
        start: number that increases with each process on the VM and with
            each session that the process loses.
    """

    vm: str
    start: int


@dataclass(frozen=True, slots=True)
class Lease:
    """Right of entry daemons to use a backend server's slots.

    The slots are divided into the floor, see ``floor_slots``, and the rest.

    Parameters:
        holder: may use the rest while its session is valid.
        floor_holder: may use the floor, also while the platform is
            unavailable.
        version: platform version of the stored lease.
    """

    server_id: str
    holder: Holder
    floor_holder: Holder
    version: int


def floor_slots(slots: int) -> int:
    """Return how many slots of a server form the floor of its lease.

    Parameters:
        slots: requests that the server may run at the same time.
    """
    return (slots + 1) // 2
