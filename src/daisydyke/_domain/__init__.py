"""Value types and decision logic, free of I/O."""
