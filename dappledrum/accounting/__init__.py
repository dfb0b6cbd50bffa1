"""Cost accounting: assigns each paid second of each machine to a cost category."""
