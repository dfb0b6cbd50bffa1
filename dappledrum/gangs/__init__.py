"""Gangs: jobs whose tasks run together or not at all."""
