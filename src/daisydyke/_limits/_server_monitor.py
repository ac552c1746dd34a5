"""What a backend server's owner knows of the server's state."""

from __future__ import annotations

import curio
from returns.result import Success

from .._domain._model import ServerPhase, ServerState
from .._domain._ramp import Ramp
from .._ports import Clock, DecisionLog, ServerConnection

STATE_TIMEOUT_S = 0.5
_STATE_INTERVAL_S = 1.0
_BUSY_STATE_INTERVAL_S = 3.0
_LOST_AFTER_POLLS = 2


class ServerMonitor:
    """Polls a server's state endpoint and notes what its answers say.

    Parameters:
        ramp: reset when the server turns out to have started anew.
        connection: for the state endpoint only.
        known: what the VM that hands the server over said of it.
    """

    def __init__(
        self,
        server_id: str,
        ramp: Ramp,
        connection: ServerConnection,
        clock: Clock,
        log: DecisionLog,
        known: ServerState | None,
    ) -> None:
        """Take the server to be cold unless it is known to be warm."""
        self._server_id = server_id
        self._ramp = ramp
        self._connection = connection
        self._clock = clock
        self._log = log
        warm = known is not None and known.phase is ServerPhase.WARM
        self._instance = known.instance if known and warm else ''
        self._instances = {self._instance} if warm else set()
        self._said = ServerState('', ServerPhase.LOST)
        self._missed_polls = 0
        self._answered_at = float('-inf')
        self._poll_now = curio.Event()

    @property
    def state(self) -> ServerState:
        """State of the server for routing, from this VM's evidence."""
        return ServerState(self._instance, self._phase(), self._said.indexes)

    async def confirm(self) -> None:
        """Poll once before the server is used."""
        if not await self._poll():
            # Nothing confirms that it is the instance known as warm.
            self._ramp.reset()

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                self._poll_now.clear()
                await curio.ignore_after(
                    self._interval(),
                    self._poll_now.wait(),
                )
                await self._poll()
        finally:
            await self._connection.close()

    async def poll_soon(self) -> None:
        """Poll without waiting for the next interval."""
        await self._poll_now.set()

    def record_answer(self, instance: str) -> None:
        """Note an answer of the server to a sub-request."""
        self._note_instance(instance)
        self._missed_polls = 0
        self._answered_at = self._clock.monotonic()

    def reset_ramp(self, reason: str) -> None:
        """Treat the server as cold from now on."""
        self._ramp.reset()
        self._log.record('ramp_reset', server=self._server_id, reason=reason)

    def _phase(self) -> ServerPhase:
        if self._said.phase is ServerPhase.DRAINING:
            return ServerPhase.DRAINING
        if self._missed_polls >= _LOST_AFTER_POLLS:
            return ServerPhase.LOST
        if not self._ramp.warm:
            return ServerPhase.COLD
        return ServerPhase.WARM

    def _note_instance(self, instance: str) -> None:
        # The state endpoint lags: an instance seen before is no news.
        if instance in self._instances:
            return
        if self._instances:
            self.reset_ramp('new_instance')
        self._instances.add(instance)
        self._instance = instance

    def _interval(self) -> float:
        # While answers come, they say more than the state endpoint.
        silent = self._clock.monotonic() - self._answered_at
        if silent < _BUSY_STATE_INTERVAL_S:
            return _BUSY_STATE_INTERVAL_S
        return _STATE_INTERVAL_S

    async def _poll(self) -> bool:
        outcome = await self._connection.state(STATE_TIMEOUT_S)
        if not isinstance(outcome, Success):
            self._missed_polls += 1
            return False
        self._missed_polls = 0
        self._said = outcome.unwrap()
        self._note_instance(self._said.instance)
        return True
