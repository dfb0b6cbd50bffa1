"""What controllers know of the links between machines, and what they make of it."""
