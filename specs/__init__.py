"""Models of the core protocols, checked exhaustively for small sizes."""
