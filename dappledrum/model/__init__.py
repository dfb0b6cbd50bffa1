"""Simple, slow reference models and checkers of the service; for tests and measurements only."""
