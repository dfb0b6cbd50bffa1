"""Passes learned run times and boot times on to the next leader."""
