"""What a leader has learned, handed on to the next one."""
