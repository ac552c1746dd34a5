"""Tests of the translation to and from the platform."""
