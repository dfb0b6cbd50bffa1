"""Jobs: stored records, state in the leader's memory, and the writing of progress."""
