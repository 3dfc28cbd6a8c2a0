"""Models of the core protocols, checked exhaustively by minicheck."""
