"""Clocks, timeouts that tolerate pauses of the process, and logging of faults that last."""
