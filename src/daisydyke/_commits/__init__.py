"""Requests that run at most once, by keys that name their executor."""
