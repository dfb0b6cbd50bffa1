"""Machines as their heartbeats show them, and the commands they get."""
