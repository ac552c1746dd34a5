"""Monitoring of a backend server's state by its owning VM."""

from __future__ import annotations

import curio
from returns.result import Success

from .._domain._model import ServerPhase, ServerState
from .._domain._ramp import Ramp
from .._ports import Clock, DecisionLog, ServerConnection

STATE_TIMEOUT_S = 0.5
_IDLE_POLL_INTERVAL_S = 1.0
_BUSY_POLL_INTERVAL_S = 3.0
_LOST_AFTER_MISSED_POLL_COUNT = 2


class ServerMonitor:
    """Polls a server's state endpoint and records its responses.

    Parameters:
        ramp: rate limit of the server; reset when the server has restarted.
        connection: used for the state endpoint only.
        initial_state: state reported by the previous owner, None if there is
            none.
    """

    def __init__(
        self,
        server_id: str,
        ramp: Ramp,
        connection: ServerConnection,
        clock: Clock,
        log: DecisionLog,
        initial_state: ServerState | None,
    ) -> None:
        """Initialize; only a warm initial state makes the instance known."""
        self._server_id = server_id
        self._ramp = ramp
        self._connection = connection
        self._clock = clock
        self._log = log
        warm = (
            initial_state is not None
            and initial_state.phase is ServerPhase.WARM
        )
        self._instance = (
            initial_state.instance if initial_state and warm else ''
        )
        self._seen_instances = {self._instance} if warm else set()
        self._reported_state = ServerState('', ServerPhase.LOST)
        self._missed_poll_count = 0
        self._last_answer_at = float('-inf')
        self._poll_requested = curio.Event()

    @property
    def state(self) -> ServerState:
        """Server state for routing, as observed by this VM."""
        return ServerState(
            self._instance, self._phase(), self._reported_state.indexes
        )

    async def confirm(self) -> None:
        """Poll once before the server is used; reset the ramp on failure."""
        if not await self._poll():
            # The server may be another instance than the one reported as warm.
            self._ramp.reset()

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                self._poll_requested.clear()
                await curio.ignore_after(
                    self._poll_interval(),
                    self._poll_requested.wait(),
                )
                await self._poll()
        finally:
            await self._connection.close()

    async def poll_soon(self) -> None:
        """Request a poll before the current interval ends."""
        await self._poll_requested.set()

    def record_answer(self, instance: str) -> None:
        """Record that the server answered a sub-request.

        Parameters:
            instance: identifier of the instance that answered.
        """
        self._record_instance(instance)
        self._missed_poll_count = 0
        self._last_answer_at = self._clock.monotonic()

    def reset_ramp(self, reason: str) -> None:
        """Reset the server's rate limit to the cold rate.

        Parameters:
            reason: logged with the reset.
        """
        self._ramp.reset()
        self._log.record('ramp_reset', server=self._server_id, reason=reason)

    def _phase(self) -> ServerPhase:
        if self._reported_state.phase is ServerPhase.DRAINING:
            return ServerPhase.DRAINING
        if self._missed_poll_count >= _LOST_AFTER_MISSED_POLL_COUNT:
            return ServerPhase.LOST
        if not self._ramp.warm:
            return ServerPhase.COLD
        return ServerPhase.WARM

    def _record_instance(self, instance: str) -> None:
        # The state endpoint lags and may report an earlier instance.
        if instance in self._seen_instances:
            return
        if self._seen_instances:
            self.reset_ramp('new_instance')
        self._seen_instances.add(instance)
        self._instance = instance

    def _poll_interval(self) -> float:
        # Answers to sub-requests are better evidence than the state endpoint,
        # so a busy server is polled less often.
        since_last_answer_s = self._clock.monotonic() - self._last_answer_at
        if since_last_answer_s < _BUSY_POLL_INTERVAL_S:
            return _BUSY_POLL_INTERVAL_S
        return _IDLE_POLL_INTERVAL_S

    async def _poll(self) -> bool:
        outcome = await self._connection.state(STATE_TIMEOUT_S)
        if not isinstance(outcome, Success):
            self._missed_poll_count += 1
            return False
        self._missed_poll_count = 0
        self._reported_state = outcome.unwrap()
        self._record_instance(self._reported_state.instance)
        return True
