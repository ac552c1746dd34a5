"""Adapters for HTTP, peer messages, gossip, logs and metrics."""
