"""The rented machines: what can be had, what is there, what is on its way, and what goes back."""
