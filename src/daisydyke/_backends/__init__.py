"""Backend servers: what is known of them, connections, extra load."""
