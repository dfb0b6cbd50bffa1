"""Leader election: chooses the one controller that may give commands, and keeps its term valid."""
