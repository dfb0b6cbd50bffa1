"""One term of leadership: its records, and the loops that act on them."""
