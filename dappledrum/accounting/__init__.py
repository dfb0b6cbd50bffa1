"""Cost accounting: assigns each paid second of each machine to what it was spent on."""
