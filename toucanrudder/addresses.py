"""Addresses as settings, documents and registries write them."""

import ipaddress

_PORTS = range(1, 65_536)
_MAX_DIGITS = len(str(max(_PORTS)))


def ip_of(
    text: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    """Return the address in ``IP:port``; None if the text is no such thing.

    Examples
    --------
    >>> ip_of("10.0.0.1:80"), ip_of("[::1]:80")
    (IPv4Address('10.0.0.1'), IPv6Address('::1'))
    >>> ip_of("10.0.0.1"), ip_of("host:80"), ip_of("10.0.0.1:0")
    (None, None, None)
    >>> ip_of("10.0.0.1:\u0663") is None
    True
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal()
    if not is_number or len(port) > _MAX_DIGITS or int(port) not in _PORTS:
        return None
    try:
        return ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return None
