"""Finds free loopback addresses for tests and the demo."""

import socket

from papayapost.ids import Address

__all__ = ["free_addresses"]


def free_addresses(count: int, ip: str = "127.0.0.1") -> list[Address]:
    """Return distinct addresses on which no process listens.

    Another process may bind a port before the caller does, because the ports
    are not reserved.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((ip, 0))
        return [Address(f"{ip}:{item.getsockname()[1]}") for item in sockets]
    finally:
        for item in sockets:
            item.close()
