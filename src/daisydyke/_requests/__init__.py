"""Caller requests: routing, dispatch to backend servers and answers."""
