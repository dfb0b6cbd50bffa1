"""Loads the pytest plugins in `checks` for every test run."""

pytest_plugins = [
    "pytester",
    "checks.hash_seed",
    "checks.isolation",
    "checks.order",
    "checks.known_red",
    "checks.logged_failures",
    "checks.virtual_time",
]
