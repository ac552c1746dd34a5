"""Tests of load and failure scenarios of the gateway in virtual time."""
