"""Backend servers: registry, connections, and limits on their load."""
