"""Tests of the options of connections."""

import curio
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from daisydyke._adapters._sockets import connect

# A configuration is in force everywhere within this time.
IN_FORCE_S = 3


async def _options(detect_dead_peer: bool) -> tuple[int, int, int]:
    listener = curio.tcp_server_socket('127.0.0.1', 0)
    _, port = listener.getsockname()
    async with listener:
        stream = await connect(
            '127.0.0.1',
            port,
            detect_dead_peer=detect_dead_peer,
        )
        async with stream:
            sockets = curio.socket
            on = stream.getsockopt(sockets.SOL_SOCKET, sockets.SO_KEEPALIVE)
            after, interval, count = (
                stream.getsockopt(sockets.IPPROTO_TCP, option)
                for option in (
                    sockets.TCP_KEEPIDLE,
                    sockets.TCP_KEEPINTVL,
                    sockets.TCP_KEEPCNT,
                )
            )
            unacknowledged = stream.getsockopt(
                sockets.IPPROTO_TCP,
                sockets.TCP_USER_TIMEOUT,
            )
    return on, after + interval * count, unacknowledged


class TestConnect(TestCase):
    """connect()"""

    def test_silence_is_detected_in_time(self) -> None:
        """A watch on a silent connection ends before changes are due."""
        on, seconds, unacknowledged = curio.run(_options, True)
        self.assertThat(on, Equals(1))
        self.assertThat(seconds, LessThan(IN_FORCE_S + 1))
        self.assertThat(unacknowledged, LessThan(IN_FORCE_S * 1000))

    def test_silent_servers_are_waited_for(self) -> None:
        """A request that must not be repeated outlasts a partition."""
        on, _, unacknowledged = curio.run(_options, False)
        self.assertThat((on, unacknowledged), Equals((0, 0)))
