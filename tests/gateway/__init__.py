"""Tests of the parts of the gateway."""
