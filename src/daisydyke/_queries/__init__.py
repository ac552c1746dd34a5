"""Queries of daisydyke-entry: plan, fan-out, answer, caller interface."""
