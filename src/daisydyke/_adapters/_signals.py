"""Asynchronous reception of operating system signals."""

from __future__ import annotations

import signal

import curio


class SignalStream:
    """Receives signals in the order of their arrival.

    curio 1.6 has no signal events. Instead, the interpreter writes the number
    of each signal to a socket (``signal.set_wakeup_fd``) that a task reads.

    Parameters:
        numbers: signals to receive.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        """Install the signal handlers and the wake-up socket."""
        receiver, sender = curio.socket.socketpair()
        self._receiver = receiver
        self._sender = sender
        signal.set_wakeup_fd(sender.fileno())
        for number in numbers:
            signal.signal(number, _ignore)

    async def next(self) -> signal.Signals:
        """Wait for the next signal."""
        received = await self._receiver.recv(1)
        return signal.Signals(received[0])


def _ignore(number: int, frame: object) -> None:
    """Replace the default action; the wake-up socket reports the signal."""
