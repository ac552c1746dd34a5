"""Tests of Configuration and ConfigurationWatch, in virtual time."""

from __future__ import annotations

import itertools
import json

import curio
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from daisydyke._operations._configuration import (
    Configuration,
    ConfigurationWatch,
)
from daisydyke._ports import Listing, StoredObject
from tests.fakes import FakePlatform, FakePlatformClient, RecordingLog
from tests.unit.test_query import service_document
from tests.virtual_time import VirtualClock, run_virtual

_MAX_DELAY_S = 6


def switch(version: int, state: str) -> StoredObject:
    """Return the switch document of the failure domain north."""
    text = json.dumps({'state': state}).encode()
    return StoredObject('switch', 'domain-north', version, text)


class TestConfiguration(TestCase):
    """Configuration.apply()"""

    def test_never_reverts_in_any_order(self) -> None:
        """The newest version is in force for every order of arrival."""
        versions = [switch(1, 'out'), switch(2, 'in'), switch(3, 'out')]
        for order in itertools.permutations(versions):
            configuration = Configuration(RecordingLog())
            for stored in order:
                configuration.apply([stored])
            self.assertThat(configuration.out_domains, Equals({'north'}))

    def test_invalid_document_keeps_the_last_good(self) -> None:
        """An invalid document is logged with its path and not applied."""
        log = RecordingLog()
        configuration = Configuration(log)
        good = StoredObject('service', 'rota', 1, service_document(2))
        broken = json.loads(service_document(3))
        broken['limits']['slots'] = 0
        bad = StoredObject('service', 'rota', 2, json.dumps(broken).encode())
        configuration.apply([good, bad, bad])
        self.assertThat(configuration.services['rota'].keys, Equals(20))
        rejected = log.events('configuration_rejected')
        self.assertThat(len(rejected), Equals(1))
        self.assertThat(rejected[0]['path'], Equals('$.limits.slots'))

    def test_digest_depends_on_versions_only(self) -> None:
        """Equal documents give equal digests in any order of arrival."""
        first = Configuration(RecordingLog())
        second = Configuration(RecordingLog())
        service = StoredObject('service', 'rota', 1, service_document(2))
        first.apply([service, switch(2, 'out')])
        second.apply([switch(2, 'out'), service])
        self.assertThat(first.digest, Equals(second.digest))
        second.apply([switch(3, 'in')])
        self.assertThat(first.digest == second.digest, Equals(False))


class TestConfigurationWatch(TestCase):
    """ConfigurationWatch.run() under platform faults"""

    def test_fault_table(self) -> None:
        """After a fault ends, a change is in force within the time limit."""
        for fault in ('none', 'down', 'stale', 'short outage'):
            self._check(fault)

    def _check(self, fault: str) -> None:
        async def scenario(clock: VirtualClock) -> None:
            platform = FakePlatform()
            client = FakePlatformClient(platform)
            configuration = Configuration(RecordingLog())
            watch = ConfigurationWatch(client, configuration, clock)
            platform.put('switch', 'domain-north', b'{"state":"in"}')
            await curio.spawn(watch.run, daemon=True)
            await curio.sleep(1)
            client.down = fault in {'down', 'short outage'}
            if fault == 'stale':
                client.stale_listing = Listing(0, ())
            await curio.sleep(1 if fault == 'short outage' else 100)
            platform.put('switch', 'domain-north', b'{"state":"out"}')
            client.down = False
            client.stale_listing = None
            started = clock.now
            while 'north' not in configuration.out_domains:
                await curio.sleep(0.1)
                self.assertThat(
                    clock.now - started,
                    LessThan(_MAX_DELAY_S),
                    fault,
                )

        run_virtual(scenario)
