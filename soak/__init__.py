"""Randomized fault-injection test of gateway processes on one machine."""
