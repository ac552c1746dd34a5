"""Tests of operators' conditional updates, in virtual time."""

from __future__ import annotations

import json

from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from daisydyke._operations._operations import Operations
from daisydyke.exceptions import (
    InvalidDocumentError,
    PlatformUnavailableError,
    VersionConflictError,
)
from tests.fakes import FakePlatform, FakePlatformClient
from tests.unit.test_query import service_document
from tests.virtual_time import VirtualClock, run_virtual


class TestOperations(TestCase):
    """Operations"""

    def test_racing_operators(self) -> None:
        """The second of two changes based on one version gets a conflict."""

        async def scenario(clock: VirtualClock) -> None:
            platform = FakePlatform()
            first_operator = Operations(FakePlatformClient(platform), clock)
            second_operator = Operations(FakePlatformClient(platform), clock)
            first = await first_operator.apply_service(
                service_document(2), 'a.json', 0
            )
            second = await second_operator.apply_service(
                service_document(3), 'b.json', 0
            )
            self.assertThat(first.unwrap().changed, Equals(True))
            conflict = second.failure()
            self.assertThat(conflict, IsInstance(VersionConflictError))
            self.assertThat(
                (conflict.expected, conflict.current),
                Equals((0, first.unwrap().version)),
            )

        run_virtual(scenario)

    def test_lost_reply(self) -> None:
        """A write with a lost response is accepted after it is read back."""

        async def scenario(clock: VirtualClock) -> None:
            platform = FakePlatform()
            client = FakePlatformClient(platform)
            client.loses_replies = True
            outcome = await Operations(client, clock).switch(
                'domain',
                'north',
                out=True,
            )
            self.assertThat(outcome.unwrap().changed, Equals(True))
            self.assertThat(platform.writes, Equals(1))

        run_virtual(scenario)

    def test_platform_down(self) -> None:
        """No change is reported as accepted while the platform is down."""

        async def scenario(clock: VirtualClock) -> None:
            client = FakePlatformClient(FakePlatform())
            client.down = True
            outcome = await Operations(client, clock).switch(
                'vm',
                'entry1',
                out=True,
            )
            self.assertThat(
                outcome.failure(),
                IsInstance(PlatformUnavailableError),
            )

        run_virtual(scenario)

    def test_invalid_documents(self) -> None:
        """Each invalid document is rejected with its path; none is written."""
        good = json.loads(service_document(2))
        table = (
            ('$.limits.slots', {'limits': {'slots': 0, 'connections': 9}}),
            (
                '$.limits.connections',
                {'limits': {'slots': 9, 'connections': 9}},
            ),
            ('$.keys', {'keys': 'many'}),
            ('$.servers', {'servers': []}),
            ('$.servers[0].address', {'servers': [{'address': 'x'}]}),
            (
                '$.answers.minimum_coverage',
                {'answers': {'minimum_coverage': 2}},
            ),
            ('$', {'surprise': 1}),
        )
        for path, change in table:
            self._check_invalid(path, {**good, **change})

    def _check_invalid(self, path: str, broken: dict[str, object]) -> None:
        async def scenario(clock: VirtualClock) -> None:
            platform = FakePlatform()
            operations = Operations(FakePlatformClient(platform), clock)
            text = json.dumps(broken).encode()
            outcome = await operations.apply_service(text, 'rota.json')
            error = outcome.failure()
            self.assertThat(error, IsInstance(InvalidDocumentError))
            self.assertThat(error.path, Equals(path))
            self.assertThat(error.source, Equals('rota.json'))
            self.assertThat(platform.writes, Equals(0))

        run_virtual(scenario)
