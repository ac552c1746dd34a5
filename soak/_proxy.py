"""TCP proxy on loopback that harms the connections it carries."""

from __future__ import annotations

import struct
from enum import Enum

import curio

from daisydyke._domain._model import Address

_READ_BYTES = 65536
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_DELAY_S = 0.15
_BACKLOG = 512


class Harm(Enum):
    """What a proxy does to its connections."""

    NONE = 'none'
    DELAY = 'delay'
    SILENCE = 'silence'
    ONE_WAY = 'one_way'


class Proxy:
    """Carries connections from one address to another."""

    def __init__(self, listen: Address, target: Address) -> None:
        """Carry everything unharmed."""
        self.listen = listen
        self._target = target
        self._carried: dict[curio.Task, tuple[curio.io.Socket, ...]] = {}
        self.harm = Harm.NONE

    async def start(self) -> None:
        """Begin to accept connections."""
        listener = curio.tcp_server_socket(
            self.listen.host,
            self.listen.port,
            backlog=_BACKLOG,
        )
        await curio.spawn(self._accept(listener), daemon=True)

    async def reset(self) -> None:
        """Reset every open connection."""
        for task, pair in tuple(self._carried.items()):
            for one in pair:
                one.setsockopt(
                    curio.socket.SOL_SOCKET,
                    curio.socket.SO_LINGER,
                    _RESET_ON_CLOSE,
                )
            await task.cancel(blocking=False)

    async def _accept(self, listener: curio.io.Socket) -> None:
        async with listener:
            while True:
                client, _ = await listener.accept()
                await curio.spawn(self._carry(client), daemon=True)

    async def _carry(self, client: curio.io.Socket) -> None:
        target = (self._target.host, self._target.port)
        task = await curio.current_task()
        try:
            server = await curio.open_connection(*target)
        except OSError:
            await client.close()
            return
        self._carried[task] = (client, server)
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._copy(client, server, forward=True))
                await group.spawn(self._copy(server, client, forward=False))
        finally:
            self._carried.pop(task)
            await client.close()
            await server.close()

    async def _copy(
        self,
        source: curio.io.Socket,
        sink: curio.io.Socket,
        *,
        forward: bool,
    ) -> None:
        try:
            while received := await source.recv(_READ_BYTES):
                await self._pass_on(sink, received, forward=forward)
        except OSError:
            # Reset by a peer or by this proxy: the other side ends with it.
            return

    async def _pass_on(
        self,
        sink: curio.io.Socket,
        received: bytes,
        *,
        forward: bool,
    ) -> None:
        if self.harm is Harm.DELAY:
            await curio.sleep(_DELAY_S)
        if self.harm is Harm.SILENCE:
            return
        if self.harm is Harm.ONE_WAY and not forward:
            return
        await sink.sendall(received)
