"""Versions of the other controllers, and the features that depend on them."""

MIN_VERSION_WITH_GANGS = (0, 4, 0)
MIN_VERSION_WITH_HEARTBEATS = (0, 5, 0)  # between controllers


def at_least(version: str, minimum: tuple[int, ...]) -> bool:
    """Whether `version` is `minimum` or later; False if it can't be parsed."""
    parts = version.split(".")[: len(minimum)]
    if len(parts) < len(minimum) or not all(p.isascii() and p.isdigit() for p in parts):
        return False
    return tuple(int(part) for part in parts) >= minimum
