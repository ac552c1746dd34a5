"""Tests of the memory that is held for what servers have sent (LOST).

What one body without end had brought stayed held after the connection had
been closed, until the process was over its memory and was killed.
"""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

import curio
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from daisydyke._requests._model import ExchangeFailure
from tests.gateway.test_connection import World, encode_reply, run

BODY_BYTES = 1 << 20
BODIES = 6
# Nothing may be held; this allows for what the test itself keeps.
SLACK_BYTES = BODY_BYTES // 4
ENDLESS_REPLIES = {
    'body': (b'HTTP/1.1 200 OK\r\n\r\n', b'x' * BODY_BYTES),
    'chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n%b\r\n' % (b'x' * 65536) * 17,
    ),
    'head': (b'HTTP/1.1 200 OK\r\nx: ', b'x' * BODY_BYTES),
    'fields': (b'HTTP/1.1 200 OK\r\n', b'name: value\r\n' * (BODY_BYTES // 13)),
}


@contextmanager
def without_collector() -> Iterator[None]:
    """Trace memory while no cycle of references is freed."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


def held_bytes() -> int:
    """Return the size of all objects that were made since the start."""
    return tracemalloc.get_traced_memory()[0]


class TestHeldBytes(TestCase):
    """BackendConnection"""

    def test_replies_without_end(self) -> None:
        """Nothing of a reply that was cut off stays held."""
        for name, (head, endless) in ENDLESS_REPLIES.items():
            with without_collector():
                failures, held = run(_read_endless, head, endless)
            self.assertThat(failures, Equals(BODIES), name)
            self.assertThat(held, LessThan(SLACK_BYTES), name)

    def test_abandoned_replies(self) -> None:
        """Nothing of a reply stays held that nobody waits for any more."""
        with without_collector():
            held = run(_abandon)
        self.assertThat(held, LessThan(SLACK_BYTES))

    def test_idle_connections(self) -> None:
        """An idle connection does not hold the body of its last reply."""
        with without_collector():
            held = run(_keep_idle)
        self.assertThat(held, LessThan(SLACK_BYTES))


async def _read_endless(
    world: World, head: bytes, endless: bytes
) -> tuple[int, int]:
    before = held_bytes()
    failures = 0
    for one in range(BODIES):
        exchange = await world.send(f'r{one}', maximum_body=BODY_BYTES)
        peer = world.peers.pop()
        try:
            await curio.timeout_after(1, peer.sendall, head + endless)
        except OSError:
            await curio.sleep(0)
        await curio.sleep(0.01)
        await peer.close()
        outcome = await world.outcome(exchange)
        failures += isinstance(outcome, ExchangeFailure)
        del exchange, outcome
    return failures, held_bytes() - before


async def _abandon(world: World) -> int:
    before = held_bytes()
    head = b'HTTP/1.1 200 OK\r\n\r\n'
    for one in range(BODIES):
        exchange = await world.send(f'r{one}', maximum_body=2 * BODY_BYTES)
        await world.reply(head + b'x' * BODY_BYTES)
        await world.pool.abandon(exchange)
        await curio.sleep(0.01)
        del exchange
    return held_bytes() - before


async def _keep_idle(world: World) -> int:
    before = held_bytes()
    exchanges = [
        await world.send(f'r{one}', maximum_body=2 * BODY_BYTES)
        for one in range(BODIES)
    ]
    body = b'x' * (BODY_BYTES)
    for peer in range(BODIES):
        await world.reply(encode_reply(f'r{peer}', body), peer)
    for exchange in exchanges:
        await world.outcome(exchange)
    del exchanges, exchange, body
    return held_bytes() - before
