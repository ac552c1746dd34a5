"""Copies of stored objects that follow the platform store."""
