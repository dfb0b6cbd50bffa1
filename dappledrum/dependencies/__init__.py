"""Jobs that wait for other jobs: when they are released, and which are cancelled together."""
