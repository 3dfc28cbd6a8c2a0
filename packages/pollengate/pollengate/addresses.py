"""Checks addresses that other writers chose before they are used in calls."""

import ipaddress
import re

__all__ = ["is_address"]

MAX_HOST_CHARACTERS = 253
_PORT = r"(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IPV4_ADDRESS = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}")
# Longer or empty labels raise an error where the name is looked up.
_NAME_ADDRESS = re.compile(rf"([A-Za-z0-9_-]{{1,63}}(?:\.[A-Za-z0-9_-]{{1,63}})*):{_PORT}")
_IPV6_ADDRESS = re.compile(rf"\[([0-9A-Fa-f:.]+)\]:{_PORT}")
_NUMERIC = re.compile(r"[0-9.]+")


def is_address(address: str) -> bool:
    """Returns True if an address has the form `host:port`.

    The host is an IPv4 address, an IPv6 address in brackets or a name in ASCII.
    """
    is_ipv4 = _IPV4_ADDRESS.fullmatch(address) is not None
    return is_ipv4 or _has_name(address) or _has_ipv6_host(address)


def _has_name(address: str) -> bool:
    match = _NAME_ADDRESS.fullmatch(address)
    if match is None:
        return False
    host = match[1]
    return len(host) <= MAX_HOST_CHARACTERS and not _NUMERIC.fullmatch(host)


def _has_ipv6_host(address: str) -> bool:
    match = _IPV6_ADDRESS.fullmatch(address)
    if match is None:
        return False
    try:
        ipaddress.IPv6Address(match[1])
    except ValueError:
        return False
    return True
