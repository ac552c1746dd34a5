"""Tests of the log stream, the decision log's limits and the metrics."""

import os

from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from daisydyke._adapters._bounded_stream import BoundedStream
from daisydyke._adapters._limited_log import LimitedDecisionLog
from daisydyke._adapters._metrics import MetricsRegistry
from tests.fakes import RecordingLog
from tests.virtual_time import VirtualClock

LINE_COUNT = 5000


class TestBoundedStream(TestCase):
    """BoundedStream"""

    def setUp(self) -> None:
        """Open a pipe that is not read."""
        super().setUp()
        reader, writer = os.pipe()
        self.reader = reader
        self.writer = writer
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.stream = BoundedStream(self.writer)

    def test_full_pipe_does_not_block(self) -> None:
        """Lines beyond the buffer limit are dropped and counted."""
        for _ in range(LINE_COUNT):
            self.stream.write('x' * 200 + '\n')
            self.stream.flush()
        self.assertThat(self.stream.dropped_lines, GreaterThan(0))

    def test_dropped_lines_are_reported(self) -> None:
        """Once reading resumes, a record gives the number of dropped lines."""
        while not self.stream.dropped_lines:
            self.stream.write('x' * 200 + '\n')
        text = b''
        for _ in range(20):
            self.stream.write('next\n')
            self.stream.flush()
            text += os.read(self.reader, 1 << 20)
        self.assertThat(text, Contains(b'"event":"log_dropped"'))
        self.assertThat(text, Contains(b'next\n'))

    def test_closed_reader(self) -> None:
        """A closed reader causes no exception and no dropped lines."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        stream = BoundedStream(writer)
        os.close(reader)
        stream.write('line\n')
        stream.flush()
        self.assertThat(stream.dropped_lines, Equals(0))


class TestLimitedDecisionLog(TestCase):
    """LimitedDecisionLog"""

    def test_answers_do_not_suppress_refusals(self) -> None:
        """Refusals are written although the rate of answers is exceeded."""
        log = RecordingLog()
        limited = LimitedDecisionLog(log, VirtualClock())
        for _ in range(LINE_COUNT):
            limited.record('answer', outcome='merged')
        limited.record('answer', outcome='refused')
        self.assertThat(len(log.lines), LessThan(200))
        self.assertThat(log.lines[-1]['outcome'], Equals('refused'))

    def test_suppressed_lines_are_reported(self) -> None:
        """The number of suppressed lines is written before the next line."""
        clock = VirtualClock()
        log = RecordingLog()
        limited = LimitedDecisionLog(log, clock)
        for _ in range(100):
            limited.record('answer', outcome='merged')
        clock.now += 5
        limited.record('answer', outcome='merged')
        reports = log.events('log_left_out')
        self.assertThat(reports[0]['lines'], Equals(limited.suppressed_lines))


class TestMetricsRegistry(TestCase):
    """MetricsRegistry"""

    def test_render(self) -> None:
        """Counters, histograms and gauges appear in the rendered text."""
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
