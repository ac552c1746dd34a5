"""Scenario: the store swallows calls for a while, and watches hang.

Nothing on the connection shows it: the store's host acknowledges every byte.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import product

import curio
from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import LessThan

from daisydyke._mirror._mirror import KindMirror
from daisydyke._mirror._store_health import StoreHealth
from daisydyke._mirror._store_probe import StoreProbe
from daisydyke._ports import Listing
from daisydyke.exceptions import PlatformError, PlatformUnavailableError
from tests.fakes import RecordingLog
from tests.gateway.test_mirror import listing
from tests.gateway.world import RecordingSink
from tests.virtual_time import VirtualClock, run_virtual

# The bound on changes holds again after this time without disruption.
CONTACT_S = 4.0
APPLY_LIMIT_S = 3.0
CALL_TIMEOUT_S = 1.5
# How old the answer to a cheap read may be.
STALE_S = 1.0
# Times from the start of a probe's interval to a change.
PROBE_PHASES_S = (0.0, 0.3, 0.6, 0.9, 1.2, 1.5)
CALM_S = 60.0


class SilentStore:
    """Store that swallows the calls that begin while it is silent.

    Attributes:
        newest: listing of the only kind.
        version: version of the store, which other kinds also raise.
        silent: whether calls are swallowed.
        lost_watches: number of watches that are lost from their start.
        lost_deliveries: number of watches whose answer gets lost when a
            change ends them.
        lost_reads: number of reads of changes whose answer gets lost.
        watches: number of watches so far.
        stale_s: how old the answers to cheap reads are.
    """

    def __init__(self, clock: VirtualClock) -> None:
        """Initialize with one object."""
        self._clock = clock
        self.newest = listing(7, a='1')
        self._changes: list[tuple[float, int]] = [(0, 7)]
        self.silent = False
        self.lost_watches = 0
        self.lost_deliveries = 0
        self.lost_reads = 0
        self.watches = 0
        self.stale_s = STALE_S

    def change(self, version: int) -> None:
        """Change the object."""
        self.newest = listing(version, a='2')
        self.touch(version)

    def touch(self, version: int) -> None:
        """Change an object of another kind."""
        self._changes.append((self._clock.now, version))

    async def newest_version(self) -> Result[int, PlatformError]:
        """Return the version of some time ago."""
        if self.silent:
            return await self._swallow(CALL_TIMEOUT_S)
        read_at = self._clock.now - self.stale_s
        return Success(
            max(number for time, number in self._changes if time <= read_at)
        )

    async def read_changes(
        self, kind: str, after: int
    ) -> Result[Listing, PlatformError]:
        """Return the changes up to some time ago."""
        is_lost = self.lost_reads > 0
        self.lost_reads -= is_lost
        if self.silent or is_lost:
            return await self._swallow(CALL_TIMEOUT_S)
        outcome = await self.newest_version()
        version = outcome.unwrap()
        if after < self.newest.version <= version:
            return Success(Listing(version, self.newest.objects))
        return Success(Listing(version, ()))

    async def list_objects(
        self, kinds: Sequence[str]
    ) -> Result[Listing, PlatformError]:
        """Return the newest listing."""
        return Success(self.newest)

    async def watch(
        self, kinds: Sequence[str], after: int, wait: float
    ) -> Result[Listing, PlatformError]:
        """Return a change once there is one, unless the call is swallowed."""
        self.watches += 1
        is_lost = self.lost_watches > 0
        self.lost_watches -= is_lost
        if self.silent or is_lost:
            return await self._swallow(wait + CALL_TIMEOUT_S)
        ends_at = self._clock.now + wait
        while self.newest.version <= after and self._clock.now < ends_at:
            await curio.sleep(0.1)
        if self.lost_deliveries:
            self.lost_deliveries -= 1
            left_s = ends_at - self._clock.now
            return await self._swallow(left_s + CALL_TIMEOUT_S)
        return Success(self.newest)

    async def _swallow(self, timeout: float) -> Result[int, PlatformError]:
        await curio.sleep(timeout)
        return Failure(PlatformUnavailableError('no answer in time'))


async def _start(clock: VirtualClock) -> tuple[SilentStore, KindMirror]:
    store = SilentStore(clock)
    log = RecordingLog()
    health = StoreHealth(clock, log)
    mirror = KindMirror('kind', store, RecordingSink(), health, log, 0.1)
    probe = StoreProbe(store, (mirror,), health)
    for run in (mirror.run, probe.run):
        await curio.spawn(run, daemon=True)
    await curio.sleep(CONTACT_S)
    return store, mirror


async def _lag(clock: VirtualClock, store: SilentStore, mirror: KindMirror):
    started = clock.now
    store.change(20)
    while mirror.version < 20:
        await curio.sleep(0.05)
    return clock.now - started


class TestSilentStore(TestCase):
    """A change is applied in time although a watch was swallowed."""

    def test_silence(self) -> None:
        """All calls were swallowed while the watch was renewed."""

        async def _scenario(clock: VirtualClock, silence_s: float) -> float:
            store, mirror = await _start(clock)
            store.silent = True
            # A change that is read just before ends the watch.
            store.change(8)
            await curio.sleep(silence_s)
            store.silent = False
            await curio.sleep(CONTACT_S)
            return await _lag(clock, store, mirror)

        for silence_s in (2.0, 2.6, 4.0, 12.0):
            lag_s = run_virtual(_scenario, silence_s)
            self.assertThat(lag_s, LessThan(APPLY_LIMIT_S), silence_s)

    def test_lost_answer(self) -> None:
        """Only the answer to one watch is lost."""

        async def _scenario(clock: VirtualClock) -> float:
            store, mirror = await _start(clock)
            store.lost_watches = 1
            store.change(8)
            await curio.sleep(CONTACT_S)
            return await _lag(clock, store, mirror)

        self.assertThat(run_virtual(_scenario), LessThan(APPLY_LIMIT_S))

    def test_lost_answer_before_the_next_probe(self) -> None:
        """The answer to a watch that had just begun is lost (CONFIG).

        The configuration before stayed in force for 30 s, since the probe
        compared with what it found after the change.
        """

        async def _scenario(
            clock: VirtualClock, phase_s: float, lost_reads: int
        ) -> float:
            store, mirror = await _start(clock)
            store.stale_s = 0
            await curio.sleep(phase_s)
            store.change(8)
            while mirror.version < 8:
                await curio.sleep(0.05)
            # The next watch has begun, and the next probe is yet to come.
            await curio.sleep(0.2)
            store.lost_deliveries = 1
            store.lost_reads = lost_reads
            return await _lag(clock, store, mirror)

        for case in product(PROBE_PHASES_S, (0, 1)):
            lag_s = run_virtual(_scenario, *case)
            self.assertThat(lag_s, LessThan(CONTACT_S + APPLY_LIMIT_S), case)

    def test_changes_of_other_kinds(self) -> None:
        """A watch that has nothing to tell is renewed rarely."""

        async def _scenario(clock: VirtualClock) -> int:
            store, _ = await _start(clock)
            before = store.watches
            for second in range(int(CALM_S)):
                if second in {5, 20, 40}:
                    store.touch(100 + second)
                await curio.sleep(1)
            return store.watches - before

        # One for each change, and those whose time is over.
        self.assertThat(run_virtual(_scenario), LessThan(7))
