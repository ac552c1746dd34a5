"""Choice among versions while services are rolled out."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from .._backends._exchange import Exchange
from .._backends._server import BackendServer
from .._ports import Clock
from ._book import RolloutBook
from ._evidence import Cell, latency_bucket
from ._model import ExposureLimits, RolloutState, Stage
from ._rollout import Rollout

# An attempt that was given up earlier says nothing on its server.
_LATE_FACTOR = 2.0


class RolloutVersions:
    """Keeps the exposure of new versions bounded, and observes them.

    Only first attempts go to a new version, drawn at random; retries and
    hedges take the old one. A third version gets nothing, since it would have
    a share beside that of the new one. Cold servers are not compared, since
    they are slow whatever their version.

    Parameters:
        limits: limits on the exposure, over all VMs together.
        sender_count: returns the number of the VMs that may send requests,
            also of those that are not heard.
    """

    def __init__(
        self,
        book: RolloutBook,
        limits: ExposureLimits,
        sender_count: Callable[[], int],
        clock: Clock,
        random: Random,
    ) -> None:
        """Initialize with the roll-outs of the book."""
        self._book = book
        self._limits = limits
        self._sender_count = sender_count
        self._clock = clock
        self._random = random

    def groups(
        self, service: str, servers: list[BackendServer], *, is_first: bool
    ) -> Sequence[list[BackendServer]]:
        """Return the servers that an attempt may use, preferred ones first."""
        rollout = self._book.current(service)
        if rollout is None:
            return (servers,)
        new = [each for each in servers if _is_new(rollout, each)]
        if rollout.state is RolloutState.COMPLETED:
            return (new,)
        old_version = self._book.old_version(rollout)
        old = [each for each in servers if each.record.version == old_version]
        if rollout.state is RolloutState.ROLLED_BACK:
            return (old,)
        is_drained = rollout.stage is Stage.DRAINING
        if is_drained or (is_first and self._draws_new(rollout)):
            return new, old
        return (old,)

    def record_attempt(self, server: BackendServer) -> None:
        """Count an attempt that is sent to a server."""
        rollout = self._book.current(server.record.service)
        if rollout is not None:
            rollout.evidence.record_attempt(is_new=_is_new(rollout, server))

    def record_answer(self, route: str, exchange: Exchange) -> None:
        """Count a successful reply to a first attempt."""
        elapsed = self._clock.monotonic() - exchange.sent_at
        self._record(route, exchange, 1 + latency_bucket(elapsed))

    def record_failure(self, route: str, exchange: Exchange) -> None:
        """Count an unsuccessful reply to a first attempt."""
        self._record(route, exchange, 0)

    def record_abandoned(
        self, route: str, exchange: Exchange, median_latency: float
    ) -> None:
        """Count a first attempt that was given up when it was late.

        It counts as answered now, the least that it would have taken.
        """
        elapsed = self._clock.monotonic() - exchange.sent_at
        if exchange.sent and elapsed > _LATE_FACTOR * median_latency:
            self._record(route, exchange, 1 + latency_bucket(elapsed))

    def _draws_new(self, rollout: Rollout) -> bool:
        if rollout.stage is Stage.ROLLED_BACK or rollout.progress >= 1:
            return False
        probability = rollout.new_version_probability(
            self._limits, self._sender_count()
        )
        return self._random.random() < probability

    def _record(self, route: str, exchange: Exchange, index: int) -> None:
        server = exchange.server
        rollout = self._book.current(server.record.service)
        if rollout is None or rollout.state.is_final:
            return
        if server.cold_until > exchange.started_at:
            return
        cell = Cell(route, server.server_id, _is_new(rollout, server))
        rollout.evidence.record_outcome(cell, index)


def _is_new(rollout: Rollout, server: BackendServer) -> bool:
    return server.record.version == rollout.target
