"""Benchmarks, fault runs and a demo against stand-ins."""
