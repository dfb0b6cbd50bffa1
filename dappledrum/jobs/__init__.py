"""Jobs: their records in the store, their intake, and the leader's writing of progress."""
