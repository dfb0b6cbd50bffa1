"""The start of a term, when much is known and little of it is certain."""
