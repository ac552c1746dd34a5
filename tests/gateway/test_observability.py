"""Tests of the decision log's bounds and of the metrics."""

import os

from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from daisydyke._adapters._bounded_stream import BoundedStream
from daisydyke._adapters._limited_log import LimitedDecisionLog
from daisydyke._adapters._metrics import MetricsRegistry
from tests.fakes import RecordingLog
from tests.virtual_time import VirtualClock

LINES = 5000


class TestBoundedStream(TestCase):
    """BoundedStream"""

    def setUp(self) -> None:
        """Open a pipe that nobody reads yet."""
        super().setUp()
        reader, writer = os.pipe()
        self.reader = reader
        self.writer = writer
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.stream = BoundedStream(self.writer)

    def test_full_pipe_does_not_block(self) -> None:
        """Beyond the bound, lines are dropped and counted."""
        for _ in range(LINES):
            self.stream.write('x' * 200 + '\n')
            self.stream.flush()
        self.assertThat(self.stream.dropped, GreaterThan(0))

    def test_dropped_lines_are_told(self) -> None:
        """Once the reader goes on, it learns how many lines are missing."""
        while not self.stream.dropped:
            self.stream.write('x' * 200 + '\n')
        text = b''
        for _ in range(20):
            self.stream.write('next\n')
            self.stream.flush()
            text += os.read(self.reader, 1 << 20)
        self.assertThat(text, Contains(b'"event":"log_dropped"'))
        self.assertThat(text, Contains(b'next\n'))

    def test_closed_reader(self) -> None:
        """A reader that is gone disturbs nothing."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        stream = BoundedStream(writer)
        os.close(reader)
        stream.write('line\n')
        stream.flush()
        self.assertThat(stream.dropped, Equals(0))


class TestLimitedDecisionLog(TestCase):
    """LimitedDecisionLog"""

    def test_refusals_before_answers(self) -> None:
        """A flood of answers leaves room for refusals."""
        log = RecordingLog()
        limited = LimitedDecisionLog(log, VirtualClock())
        for _ in range(LINES):
            limited.record('answer', outcome='merged')
        limited.record('answer', outcome='refused')
        self.assertThat(len(log.lines), LessThan(200))
        self.assertThat(log.lines[-1]['outcome'], Equals('refused'))

    def test_left_out_is_told(self) -> None:
        """The next line says how many were left out."""
        clock = VirtualClock()
        log = RecordingLog()
        limited = LimitedDecisionLog(log, clock)
        for _ in range(100):
            limited.record('answer', outcome='merged')
        clock.now += 5
        limited.record('answer', outcome='merged')
        told = log.events('log_left_out')
        self.assertThat(told[0]['lines'], Equals(limited.left_out))


class TestMetricsRegistry(TestCase):
    """MetricsRegistry"""

    def test_render(self) -> None:
        """Counters, histograms and gauges can be scraped."""
        registry = MetricsRegistry(lambda: {'members_alive': 18})
        registry.incr('requests.merged', 3)
        registry.timing('answer_ms.search', 42.0)
        registry.timing('answer_ms.search', 900.0)
        families = {
            family.name: family
            for family in text_string_to_metric_families(
                registry.render().decode(),
            )
        }
        requests = families['daisydyke_requests'].samples[0]
        self.assertThat(requests.labels, Equals({'kind': 'merged'}))
        self.assertThat(requests.value, Equals(3))
        buckets = {
            sample.labels.get('le'): sample.value
            for sample in families['daisydyke_answer_ms'].samples
        }
        self.assertThat(buckets['50'], Equals(1))
        self.assertThat(buckets['+Inf'], Equals(2))
        gauge = families['daisydyke_members_alive'].samples[0]
        self.assertThat(gauge.value, Equals(18))
