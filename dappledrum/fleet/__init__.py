"""Rented machines: catalog, machine list, boot times, rentals and returns."""
