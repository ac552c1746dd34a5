"""Tests of the components of the gateway."""
