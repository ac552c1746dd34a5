"""TCP proxy on loopback that injects network faults."""

from __future__ import annotations

import struct
from enum import Enum

import curio

from daisydyke._domain._model import Address

_READ_BYTES = 65536
# ``struct linger`` with l_onoff = 1 and l_linger = 0: closing sends a reset.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_DELAY_S = 0.15
_BACKLOG = 512


class NetworkFault(Enum):
    """Fault that a proxy applies to all of its connections.

    ``DELAY`` delays each chunk, ``SILENCE`` discards all data and ``ONE_WAY``
    discards the data from the target.
    """

    NONE = 'none'
    DELAY = 'delay'
    SILENCE = 'silence'
    ONE_WAY = 'one_way'


class FaultProxy:
    """Relays connections from a listening address to a target address.

    Parameters:
        fault: applied to all connections; may be changed at any time.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        """Initialize without a fault."""
        self.listen = listen
        self._target = target
        self._connections: dict[curio.Task, tuple[curio.io.Socket, ...]] = {}
        self.fault = NetworkFault.NONE

    async def start(self) -> None:
        """Start accepting connections."""
        listener = curio.tcp_server_socket(
            self.listen.host,
            self.listen.port,
            backlog=_BACKLOG,
        )
        await curio.spawn(self._accept(listener), daemon=True)

    async def reset(self) -> None:
        """Reset every open connection."""
        for task, sockets in tuple(self._connections.items()):
            for socket in sockets:
                socket.setsockopt(
                    curio.socket.SOL_SOCKET,
                    curio.socket.SO_LINGER,
                    _RESET_ON_CLOSE,
                )
            await task.cancel(blocking=False)

    async def _accept(self, listener: curio.io.Socket) -> None:
        async with listener:
            while True:
                client, _ = await listener.accept()
                await curio.spawn(self._relay_connection(client), daemon=True)

    async def _relay_connection(self, client: curio.io.Socket) -> None:
        target = (self._target.host, self._target.port)
        task = await curio.current_task()
        try:
            server = await curio.open_connection(*target)
        except OSError:
            await client.close()
            return
        self._connections[task] = (client, server)
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(
                    self._relay_stream(client, server, to_target=True)
                )
                await group.spawn(
                    self._relay_stream(server, client, to_target=False)
                )
        finally:
            self._connections.pop(task)
            await client.close()
            await server.close()

    async def _relay_stream(
        self,
        source: curio.io.Socket,
        sink: curio.io.Socket,
        *,
        to_target: bool,
    ) -> None:
        try:
            while received := await source.recv(_READ_BYTES):
                await self._forward(sink, received, to_target=to_target)
        except OSError:
            # Reset by a peer or by this proxy. The task group cancels the
            # other direction.
            return

    async def _forward(
        self,
        sink: curio.io.Socket,
        received: bytes,
        *,
        to_target: bool,
    ) -> None:
        if self.fault is NetworkFault.DELAY:
            await curio.sleep(_DELAY_S)
        if self.fault is NetworkFault.SILENCE:
            return
        if self.fault is NetworkFault.ONE_WAY and not to_target:
            return
        await sink.sendall(received)
