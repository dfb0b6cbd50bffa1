"""The leader during one term: reads the stored records, and runs the loops that act on them."""
