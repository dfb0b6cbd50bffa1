"""Jobs: their stored records, their state in the leader's memory, and the writing of progress."""
