"""Network addresses in the form `host:port`."""

import ipaddress
import re
from typing import Final

import msgspec

MIN_PORT: Final = 1
MAX_PORT: Final = 65_535
# Limits of the domain name system (RFC 1035, 2.3.4).
MAX_HOST_CHARS: Final = 253
MAX_LABEL_CHARS: Final = 63
MAX_ADDRESS_CHARS: Final = MAX_HOST_CHARS + len(f":{MAX_PORT}")

_LABEL: Final = rf"[0-9A-Za-z_-]{{1,{MAX_LABEL_CHARS}}}"
_HOST_NAME: Final = re.compile(rf"{_LABEL}(?:\.{_LABEL})*")
_PORT: Final = re.compile(r"[0-9]{1,5}")


class InvalidAddressError(ValueError):
    """A text that is no address."""


class Address(msgspec.Struct, frozen=True):
    """A host, by name or IP address, and a port."""

    host: str
    port: int


def parse(text: str) -> Address:
    """Parse an address to connect or send to.

    Raises:
        InvalidAddressError: The text is no address.
    """
    host, _, port = text.rpartition(":")
    if (
        len(text) > MAX_ADDRESS_CHARS
        or not _PORT.fullmatch(port)
        or not MIN_PORT <= int(port) <= MAX_PORT
        or not _is_host(host)
    ):
        raise InvalidAddressError(f"invalid address {text[:100]!r}")
    return Address(host, int(port))


def is_valid(text: str) -> bool:
    """Return whether a text is an address to connect or send to."""
    try:
        parse(text)
    except InvalidAddressError:
        return False
    return True


def is_ipv4(text: str) -> bool:
    """Return whether a text is an address whose host is an IPv4 address."""
    try:
        ipaddress.IPv4Address(parse(text).host)
    except ValueError:
        return False
    return True


def _is_host(text: str) -> bool:
    if ":" not in text:
        return bool(_HOST_NAME.fullmatch(text))
    try:
        # The name of a scope may hold anything.
        return ipaddress.IPv6Address(text).scope_id is None
    except ValueError:
        return False
