"""Creation of API keys, which are shown once and stored only as digests."""

import hashlib
import secrets
from typing import Final

PREFIX: Final = "eg-"
SECRET_BYTES: Final = 32


def create_key() -> str:
    """Return a new random key."""
    return PREFIX + secrets.token_urlsafe(SECRET_BYTES)


def compute_digest(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()
