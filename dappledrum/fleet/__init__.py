"""The rented machines: the catalog, the list of machines, boots, rentals and returns."""
