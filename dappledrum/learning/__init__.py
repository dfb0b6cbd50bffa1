"""Passes what a leader has learned on to the next one."""
