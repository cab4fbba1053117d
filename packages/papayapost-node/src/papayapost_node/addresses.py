"""Splits addresses into the host and port that sockets take."""

from papayapost.ids import Address

__all__ = ["split_address"]


def split_address(address: Address) -> tuple[str, int]:
    """Return the IP address and the port number of an `Address`.

    Examples
    --------
    >>> split_address(Address("127.0.0.1:80"))
    ('127.0.0.1', 80)
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
