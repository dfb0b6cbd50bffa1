"""Clocks, timeouts that tolerate pauses of the process, and supervision and logging of faults."""
