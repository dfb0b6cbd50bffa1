"""Simulates everything around the controllers (network, store, cloud, workers, users) in virtual
time.

The simulated parts speak the published protocols. For tests only.
"""
