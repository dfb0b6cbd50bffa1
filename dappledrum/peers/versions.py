"""Versions of the other controllers, and the features that depend on them."""

MIN_VERSION_WITH_GANGS = (0, 4, 0)
MIN_VERSION_WITH_HEARTBEATS = (0, 5, 0)  # between controllers


def at_least(version: str, minimum: tuple[int, ...]) -> bool:
    """Whether a version is at least the given one; a version that can't be parsed is not."""
    parts = version.split(".")[: len(minimum)]
    if len(parts) < len(minimum) or not all(p.isascii() and p.isdigit() for p in parts):
        return False
    return tuple(int(part) for part in parts) >= minimum
