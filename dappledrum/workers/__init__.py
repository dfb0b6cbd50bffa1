"""Machine state as reported by worker heartbeats, and the commands sent to workers."""
