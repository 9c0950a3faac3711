"""Create instance ids, nonces and digests."""

import hashlib
import secrets

_INSTANCE_ID_BYTES = 12
_NONCE_BYTES = 12


def new_instance_id() -> str:
    """Create an id that is unique among process instances."""
    return secrets.token_hex(_INSTANCE_ID_BYTES)


def new_nonce() -> str:
    """Create a value that identifies one write attempt."""
    return secrets.token_hex(_NONCE_BYTES)


def digest_of(content: bytes) -> str:
    """Return the SHA-256 digest of the content in hexadecimal."""
    return hashlib.sha256(content).hexdigest()
