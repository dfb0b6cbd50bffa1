"""Jobs: their records in the state service, their intake, and the leader's writing of progress."""
