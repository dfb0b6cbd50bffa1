"""Free TCP addresses on the loopback interface."""

import socket

LOOPBACK = "127.0.0.1"


def free_address() -> str:
    """Return an address whose port is free; another process may still take it before its use."""
    with socket.create_server((LOOPBACK, 0)) as server:
        return f"{LOOPBACK}:{server.getsockname()[1]}"
