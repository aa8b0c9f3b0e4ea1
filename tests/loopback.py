"""Addresses on this machine for whatever tests start."""

import socket


def free_address() -> str:
    """Return an ``IP:port`` that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
