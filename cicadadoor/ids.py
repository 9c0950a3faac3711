"""Make instance ids, nonces and digests."""

import hashlib
import secrets

_INSTANCE_ID_BYTES = 12
_NONCE_BYTES = 12


def new_instance_id() -> str:
    """Make an id that no other process instance has."""
    return secrets.token_hex(_INSTANCE_ID_BYTES)


def new_nonce() -> str:
    """Make a value that identifies one attempt to write."""
    return secrets.token_hex(_NONCE_BYTES)


def digest_of(content: bytes) -> str:
    """Return the SHA-256 of the content in hexadecimal."""
    return hashlib.sha256(content).hexdigest()
