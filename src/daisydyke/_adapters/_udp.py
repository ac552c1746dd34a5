"""Messages between VMs, encoded as MessagePack over UDP."""

from __future__ import annotations

from typing import Generic, TypeVar

import curio
import msgspec

from .._decoding import DECODING_ERRORS
from .._domain._model import Address

_MAXIMUM_DATAGRAM_BYTES = 1400
_MessageT = TypeVar('_MessageT')


class UdpMessages(Generic[_MessageT]):
    """Sends and receives messages of one type on one UDP port.

    Parameters:
        address: address to bind to; messages are sent to the same port of
            other hosts.
        decoder: decodes received messages.

    Attributes:
        bytes_sent: total size of the encoded messages sent so far.
    """

    def __init__(
        self, address: Address, decoder: msgspec.msgpack.Decoder[_MessageT]
    ) -> None:
        """Bind the socket.

        Raises:
            OSError: the address cannot be bound, such as when it is in use.
        """
        self._port = address.port
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = decoder
        self._socket = curio.socket.socket(
            curio.socket.AF_INET,
            curio.socket.SOCK_DGRAM,
        )
        self._socket.bind((address.host, address.port))
        self.bytes_sent = 0

    async def send(self, host: str, message: _MessageT) -> None:
        """Send one message.

        Delivery is not guaranteed, and errors of the socket are ignored.
        """
        payload = self._encoder.encode(message)
        self.bytes_sent += len(payload)
        try:
            await self._socket.sendto(payload, (host, self._port))
        except OSError:
            return

    async def receive(self) -> tuple[str, _MessageT]:
        """Wait for the next message, discarding malformed ones.

        Returns:
            The IP address of the sender and the message.
        """
        while True:
            payload, source = await self._socket.recvfrom(
                _MAXIMUM_DATAGRAM_BYTES,
            )
            message = self._decode(payload)
            if message is not None:
                return source[0], message

    def _decode(self, payload: bytes) -> _MessageT | None:
        try:
            return self._decoder.decode(payload)
        except DECODING_ERRORS:
            return None
