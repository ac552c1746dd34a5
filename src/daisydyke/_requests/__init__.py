"""Requests of callers: routes, dispatch to backend servers, answers."""
