"""Tests of the explanation of a gateway's response from log lines."""

import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Equals

from daisydyke._cli._explain import explain_lines

REFUSED = (
    '  2.1 vm-1 {"event": "answer", "vm": "vm-1", "request_id": "r1", '
    '"route": "desk", "configuration": 7, "outcome": "refused", '
    '"elapsed_ms": 0.3, "reason": "no_server", "retry_after_s": 0.25, '
    '"slowest": [{"service": "s1", "servers": [], "failure": "no_server"}]}'
)
MERGED = (
    '{"event": "answer", "vm": "vm-2", "request_id": "r2", "route": "all", '
    '"configuration": 8, "outcome": "merged", "elapsed_ms": 170.2, '
    '"missing": 1, "hedges": 2, "hedge_after_ms": 25.0, "slowest": '
    '[{"service": "s3", "servers": ["i-1", "i-2"], "failure": "timeout"}, '
    '{"service": "s4", "servers": ["i-3"], "elapsed_ms": 61.5}]}'
)
CUT = (
    '{"event": "request_cut", "vm": "vm-3", "request_id": "r3", '
    '"outcome": "stopped"}'
)


class TestExplainAnswer(TestCase):
    """explain_lines() with a gateway's log lines"""

    def explain(self, request_id: str) -> str:
        """Return the explanation from a combined log of several VMs."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'all.log'
            path.write_text(f'noise\n{REFUSED}\n{{broken r1\n{MERGED}\n{CUT}\n')
            return '\n'.join(explain_lines(request_id, [path]))

    def test_refused(self) -> None:
        """A refusal shows its reason, also after a log collector's prefix."""
        explanation = self.explain('r1')
        self.assertThat(
            explanation, Contains('vm-1: refused because of no_server')
        )
        self.assertThat(explanation, Contains('configuration 7'))

    def test_missing_part(self) -> None:
        """A missing part lists the servers tried, in order."""
        explanation = self.explain('r2')
        self.assertThat(explanation, Contains('merged without 1 parts'))
        self.assertThat(explanation, Contains('s3: i-1, then i-2: timeout'))
        self.assertThat(explanation, Contains('s4: i-3: 61.5 ms'))

    def test_cut(self) -> None:
        """A request without a whole answer names the cause (LOST)."""
        explanation = self.explain('r3')
        self.assertThat(explanation, Contains('vm-3: no whole answer: stopped'))

    def test_unknown(self) -> None:
        """A request id without a log line is reported as such."""
        explanation = self.explain('r9')
        self.assertThat(
            explanation, Equals('r9: no decision line in these logs')
        )
