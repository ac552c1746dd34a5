"""Connection whose requests arrive in pieces at times."""

from __future__ import annotations

import math
import random
import time

import curio

from daisydyke._adapters._http_client import (
    HttpConnection,
    HttpRequest,
    HttpResponse,
    StreamSocket,
)
from daisydyke._domain._model import Address

# Host of all routes.
HOST_NAME = 'soak'
_PIECES_SHARE = 0.1
_MINIMUM_PAUSE_S = 0.02
_MAXIMUM_PAUSE_S = 0.5


class PacedConnection(HttpConnection):
    """Sends some requests in two pieces with a pause between them.

    Attributes:
        answers: number of answers on the open socket.
        sent_at: monotonic time at which the last byte of the latest request
            was sent; infinity before.
    """

    def __init__(self, address: Address, draws: random.Random) -> None:
        """Initialize with the draws of pieces and pauses."""
        super().__init__(address)
        self._draws = draws
        self._pause_s: float = 0
        self.answers = 0
        self.sent_at = math.inf

    def draw_pause_s(self) -> float:
        """Draw the pause within the next request; 0 for most."""
        self._pause_s = 0
        if self._draws.random() < _PIECES_SHARE:
            self._pause_s = self._draws.uniform(
                _MINIMUM_PAUSE_S, _MAXIMUM_PAUSE_S
            )
        return self._pause_s

    async def request(self, request: HttpRequest) -> HttpResponse:
        """Send a request and read its whole response."""
        response = await super().request(request)
        self.answers += 1
        return response

    async def connect(self) -> None:
        """Open a new socket, closing the current one if there is one."""
        self.answers = 0
        await super().connect()
        if self._socket is not None:
            self._socket = _PacedSocket(self._socket, self)

    async def send_pieces(self, stream: StreamSocket, payload: bytes) -> None:
        """Send a request with the pause that was drawn for it."""
        self.sent_at = math.inf
        if self._pause_s:
            size = self._draws.randrange(1, len(payload))
            await stream.sendall(payload[:size])
            await curio.sleep(self._pause_s)
            payload = payload[size:]
        await stream.sendall(payload)
        self.sent_at = time.monotonic()

    def _encode(self, request: HttpRequest) -> bytes:
        """Name the host that all VMs share, instead of the VM."""
        own = f'{self._address}\r\n'.encode()
        payload = super()._encode(request)
        return payload.replace(own, f'{HOST_NAME}\r\n'.encode(), 1)


class _PacedSocket:
    """Socket that sends through its connection."""

    def __init__(
        self, stream: StreamSocket, connection: PacedConnection
    ) -> None:
        self._stream = stream
        self._connection = connection

    def __getattr__(self, name: str) -> object:
        return getattr(self._stream, name)

    async def sendall(self, payload: bytes) -> None:
        """Send all bytes of a request."""
        await self._connection.send_pieces(self._stream, payload)
