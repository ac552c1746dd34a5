"""Tests of the gateway under patterns of load, in virtual time."""
