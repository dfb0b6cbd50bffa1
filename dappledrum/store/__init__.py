"""Client of the key-value store: keys, transactions, leases and watches, within this controller's
share of the store's rate limits."""
