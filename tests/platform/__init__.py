"""Tests of the translation between the platform's formats and the core."""
