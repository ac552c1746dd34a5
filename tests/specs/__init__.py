"""Tests of the protocol models."""
