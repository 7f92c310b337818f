"""Parsing of addresses written as "IP:port", or "[IP]:port" for IPv6."""

import ipaddress


def parse(address: str) -> tuple[str, int]:
    """Returns the IP address and port of an untrusted address string.

    Raises:
        ValueError: It is not an IP address with a port from 1 to 65535.
    """
    ip, separator, port = address.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        raise ValueError('expected "IP:port"')
    if ip.startswith("[") and ip.endswith("]"):
        ip = str(ipaddress.IPv6Address(ip[1:-1]))
    else:
        ip = str(ipaddress.IPv4Address(ip))
    if not 0 < int(port) < 65536:
        raise ValueError("the port must be from 1 to 65535")
    return ip, int(port)


def split(address: str) -> tuple[str, int]:
    """Returns the IP address and port of an already validated address.

    Port 0 is allowed: the operating system picks a free port to listen on.
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
