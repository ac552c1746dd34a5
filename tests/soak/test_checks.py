"""Tests that the soak's checks notice what they are there for."""

import heapq
import tempfile
import time
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from daisydyke._adapters._http_client import HttpResponse
from daisydyke._domain._model import Address
from soak._callers import merge_faults
from soak._world import DRAIN_S, SHARDS, World
from stand_ins.platform_server import (
    RECORD_BYTES,
    PlatformServerStandIn,
    Run,
    part_of,
)

REQUEST = 'r1'
TOP = 6
SERVER = PlatformServerStandIn('i-1', 'p0', 'north', Address('h', 1))


def merged(services, missing, of=REQUEST, body=None) -> HttpResponse:
    """Return a merged answer."""
    parts = b''.join(part_of(one, REQUEST) for one in services)
    records = [
        parts[start : start + RECORD_BYTES]
        for start in range(0, len(parts), RECORD_BYTES)
    ]
    greatest = b''.join(heapq.nlargest(TOP, records))
    stamps = ', '.join(f'{one}.{of}' for one in services)
    headers = {
        'daisydyke-part-stamps': stamps,
        'daisydyke-missing-parts': str(missing),
    }
    return HttpResponse(200, greatest if body is None else body, headers)


class TestMergeFaults(TestCase):
    """merge_faults()"""

    def faults(self, *arguments, **options) -> list[str]:
        """Return what is wrong with an answer."""
        answer = merged(*arguments, **options)
        return list(merge_faults(REQUEST, answer))

    def test_sound(self) -> None:
        """Whole answers and honest partial ones are sound."""
        self.assertThat(self.faults(SHARDS, 0), Equals([]))
        self.assertThat(self.faults(SHARDS[:3], 1), Equals([]))

    def test_broken(self) -> None:
        """Every kind of fault is noticed."""
        table = {
            'another request': self.faults(SHARDS, 0, of='r2'),
            'twice': self.faults((*SHARDS[:3], SHARDS[0]), 0),
            'missing not said': self.faults(SHARDS[:3], 0),
            'too few': self.faults(SHARDS[:1], 3),
            'records': self.faults(SHARDS, 0, body=b'x' * RECORD_BYTES),
        }
        unnoticed = [name for name, found in table.items() if not found]
        self.assertThat(unnoticed, Equals([]))


class TestWorld(TestCase):
    """World"""

    def setUp(self) -> None:
        """Make a world that nothing has been started in."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = World(1, Path(folder.name))

    def run_at(self, at: float, request_id: str = REQUEST) -> None:
        """Note a run of a request that must not be repeated."""
        run = Run(request_id, 'POST', '/one/x', 'i-1', 'p0', at)
        self.world.runs.append(run)

    def test_runs(self) -> None:
        """A second run, and a run after a promise, are noticed."""
        self.run_at(1)
        self.world.check_runs(set())
        self.assertThat(self.world.violations, HasLength(0))
        self.run_at(2)
        self.world.check_runs({REQUEST})
        self.assertThat(self.world.violations, HasLength(2))

    def test_drained(self) -> None:
        """A request after the bound is noticed, one within it is not."""
        now = time.monotonic()
        self.world.drained['i-1'] = now
        self.run_at(now + DRAIN_S - 0.1)
        self.world.check_drained(SERVER)
        self.assertThat(self.world.violations, HasLength(0))
        self.run_at(now + DRAIN_S + 0.1)
        self.world.check_drained(SERVER)
        self.assertThat(self.world.violations, HasLength(1))
