"""Query planning, fan-out and the caller interface of daisydyke-entry."""
