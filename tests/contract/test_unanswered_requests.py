"""Tests of requests that were read whole and that get no whole answer."""

from __future__ import annotations

import curio
from testtools import TestCase
from testtools.matchers import Contains, Equals

from tests.contract.test_http_server import (
    HANDLER_DELAY_S,
    REQUEST,
    SlowHandler,
    read_all,
    run_scenario,
)

SECOND_REQUEST = REQUEST.replace(b'/x', b'/y')
# More than is read behind a request.
EXCESS_BYTES = 1 << 19


class TestUnansweredRequests(TestCase):
    """ClientConnection"""

    def test_whole_request_behind_another(self) -> None:
        """A request read whole before a stop is answered in it (LOST)."""

        async def _scenario(server, handler: SlowHandler, client):
            await client.sendall(REQUEST + SECOND_REQUEST)
            await curio.sleep(HANDLER_DELAY_S / 4)
            server.stop_keep_alive()
            return await read_all(client)

        self.assertThat(run_scenario(_scenario), Contains(b'/y'))

    def test_caller_leaves_after_excess_bytes(self) -> None:
        """A request is cancelled whatever its caller sent behind it (GONE)."""

        async def _scenario(server, handler: SlowHandler, client):
            await client.sendall(REQUEST)
            await curio.sleep(HANDLER_DELAY_S / 4)
            await client.sendall(b'x' * EXCESS_BYTES)
            await client.close()
            await curio.sleep(HANDLER_DELAY_S / 4)
            return handler.cancelled_count

        self.assertThat(run_scenario(_scenario), Equals(1))
