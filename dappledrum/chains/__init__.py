"""Jobs that wait for others: which do, when they are released, and what a cancellation takes
along."""
