"""Stand-ins for external systems in tests and measurements."""
