"""Limits of backend servers: ownership, sessions, fencing, gates."""
