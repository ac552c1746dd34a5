"""Tests of the fault soak: that it notices broken promises."""
