"""Requests for tokens over the reports' datagrams."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import msgspec

from .._decoding import DECODING_ERRORS
from .._reports._section import Reporter
from ._leader import TokenLeader
from ._messages import TokenGrant, TokenRequest

# Longer than the round-trip time between failure domains.
_ATTEMPT_TIMEOUT_S = 0.04
_ATTEMPT_COUNT = 3

# Sends a piece of a section to one VM.
SendToVm = Callable[[str, str, bytes], Awaitable[None]]


@dataclass(slots=True)
class _Pending:
    leader: str
    answer: TokenGrant | None = None
    answered: curio.Event = field(default_factory=curio.Event)


class TokenChannel:
    """Carries requests for tokens to leaders, and answers those of others.

    Parameters:
        me: this process.
        leader: grants the tokens of the customers that this VM leads.
        send: sends a piece of a section to a VM by its name.
    """

    name = 'quota-tokens'

    def __init__(
        self, me: Reporter, leader: TokenLeader, send: SendToVm
    ) -> None:
        """Initialize without requests."""
        self._me = me
        self._leader = leader
        self._send = send
        self._pending: dict[int, _Pending] = {}
        self._decoder = msgspec.msgpack.Decoder(TokenRequest | TokenGrant)

    async def ask(self, vm: str, request: TokenRequest) -> TokenGrant | None:
        """Ask a VM for tokens.

        Returns:
            Its answer, None if there was none in time. A request without an
            answer may have been granted.
        """
        if vm == self._me.vm:
            return self._leader.grant(self._me, request)
        pending = _Pending(vm)
        self._pending[request.number] = pending
        try:
            await self._repeat(vm, request, pending)
        finally:
            self._pending.pop(request.number, None)
        return pending.answer

    async def receive(self, reporter: Reporter, piece: bytes) -> bytes | None:
        """Take a request or an answer; return the answer to a request."""
        try:
            message = self._decoder.decode(piece)
        except DECODING_ERRORS:
            return None
        if isinstance(message, TokenRequest):
            grant = self._leader.grant(reporter, message)
            return msgspec.msgpack.encode(grant)
        pending = self._pending.get(message.number)
        if pending is not None and pending.leader == reporter.vm:
            pending.answer = message
            await pending.answered.set()
        return None

    async def _repeat(
        self, vm: str, request: TokenRequest, pending: _Pending
    ) -> None:
        piece = msgspec.msgpack.encode(request)
        for _ in range(_ATTEMPT_COUNT):
            await self._send(vm, self.name, piece)
            await curio.ignore_after(
                _ATTEMPT_TIMEOUT_S, pending.answered.wait()
            )
            if pending.answer is not None:
                return
