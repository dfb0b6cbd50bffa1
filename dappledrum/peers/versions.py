"""Versions of the other controllers, and the features that depend on them."""

GANGS = (0, 4, 0)  # first version that supports gangs
REACH = (0, 5, 0)  # first version that supports heartbeats


def at_least(version: str, least: tuple[int, ...]) -> bool:
    """Whether a version is at least the given one; a version that can't be parsed is not."""
    parts = version.split(".")[: len(least)]
    if len(parts) < len(least) or not all(p.isascii() and p.isdigit() for p in parts):
        return False
    return tuple(int(part) for part in parts) >= least
