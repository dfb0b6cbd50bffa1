"""Where the money goes: each paid second of each machine, booked under what it was spent on."""
