"""Election of the one controller that may give commands, and keeping its term valid."""
