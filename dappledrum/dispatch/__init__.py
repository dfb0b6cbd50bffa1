"""From records to the planner, and from its plan to placements, rentals and returns."""
