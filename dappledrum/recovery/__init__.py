"""Recovery at the start of a term, while records are read but machines have sent no heartbeats."""
