"""Client of the store: keys, transactions, holds and watches, within this controller's
share of its limits."""
