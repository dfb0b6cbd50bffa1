"""Recovery at the start of a term, when the records are known but heartbeats are still missing."""
