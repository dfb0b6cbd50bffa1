"""One term of leadership: reading the records, and the loops that act on them."""
