"""Checks every model, and that each one fails without any of its guards."""

from __future__ import annotations

import sys

from specs import (
    commit,
    configuration,
    exposure,
    gateway_exchange,
    gateway_mirror,
    lease,
    quota,
    rollout,
)
from specs.model import Verdict, check

MODELS = (
    lease.MODEL,
    commit.MODEL,
    configuration.MODEL,
    gateway_exchange.MODEL,
    gateway_mirror.MODEL,
    quota.MODEL,
    exposure.MODEL,
    rollout.MODEL,
)


def main() -> int:
    """Check all models with and without each guard; return the exit code."""
    failed = 0
    for model in MODELS:
        for removed_guard in ('', *model.guards):
            verdict = check(model, removed_guard)
            print(describe(verdict))
            failed += not verdict.as_expected
    print(f'{failed} not as expected')
    return int(failed > 0)


def describe(verdict: Verdict) -> str:
    """Format a verdict, with the steps of its counterexample."""
    mark = 'ok' if verdict.as_expected else 'NOT AS EXPECTED'
    variant = (
        f'without "{verdict.removed_guard}"'
        if verdict.removed_guard
        else 'all guards'
    )
    head = f'{mark}: {verdict.model}, {variant}: {verdict.state_count} states'
    if not verdict.violated_invariant:
        return f'{head}, every invariant holds'
    steps = ''.join(f'\n    {step}' for step in verdict.counterexample[1:])
    return f'{head}, violates "{verdict.violated_invariant}":{steps}'


if __name__ == '__main__':
    sys.exit(main())
