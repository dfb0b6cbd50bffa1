"""Addresses on the loopback range that nobody listens on."""

import socket

LOOPBACK = "127.0.0.1"


def free_address() -> str:
    """An address with a port that was free a moment ago."""
    with socket.create_server((LOOPBACK, 0)) as listening:
        return f"{LOOPBACK}:{listening.getsockname()[1]}"
