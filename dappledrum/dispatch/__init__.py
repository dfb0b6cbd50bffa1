"""Turns stored jobs into input of the planner, and plans into placements, rentals and returns."""
