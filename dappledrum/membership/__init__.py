"""What controllers know about the links between machines, and the decisions that follow."""
