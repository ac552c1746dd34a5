"""Property tests with generated input, against plain references."""
