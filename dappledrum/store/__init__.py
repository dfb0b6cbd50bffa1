"""Client of the state service: keys, transactions, holds and watches, within this controller's
share of its limits."""
