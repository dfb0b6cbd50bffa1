"""Versions of the other controllers, as far as they tell."""

GANGS = (0, 4, 0)  # from this version on gangs are known
REACH = (0, 5, 0)  # from this version on words of links are spoken


def at_least(version: str, least: tuple[int, ...]) -> bool:
    """Whether a version that somebody told is as new; what can't be read is not."""
    parts = version.split(".")[: len(least)]
    if len(parts) < len(least) or not all(p.isascii() and p.isdigit() for p in parts):
        return False
    return tuple(int(part) for part in parts) >= least
