"""Simple reference models and checkers that tests compare the real code with."""
