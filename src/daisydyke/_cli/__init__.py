"""Command-line programs and the composition roots of the daemons."""
