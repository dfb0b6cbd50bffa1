"""Machines as their workers report them, and the commands they get."""
