"""Randomized fault soak of gateway processes on one machine."""
