"""Sign, parse and verify the prefixes of idempotency keys."""

import hmac
import secrets
from hashlib import sha256

# Marks a key made from a prefix; all other keys are opaque.
PREFIX_MARK = 'cd1'
LIFETIME_S = 600.0
# For this long after the prefix expires, a key without a record is known not to have
# run; later its record may have been removed.
_AFTER_EXPIRY_S = 300.0
REMEMBERED_S = LIFETIME_S + _AFTER_EXPIRY_S
MAX_KEY_LENGTH = 256
_SECRET_BYTES = 32
_SALT_BYTES = 6
_SIGNATURE_BYTES = 16
_FIELD_COUNT = 6
_MS_PER_S = 1000


class PrefixKey:
    """Hold the parts of an idempotency key that was made from a prefix."""

    __slots__ = ('instance', 'issued_ms', 'nonce', 'salt', 'signature')

    def __init__(
        self,
        issued_ms: int,
        instance: str,
        salt: str,
        signature: str,
        nonce: str,
    ) -> None:
        self.instance = instance
        self.issued_ms = issued_ms
        self.salt = salt
        self.signature = signature
        self.nonce = nonce

    @property
    def usable_until_s(self) -> float:
        """Return the time until which the key is accepted for a new request."""
        return self.issued_ms / _MS_PER_S + LIFETIME_S

    @property
    def remembered_until_s(self) -> float:
        """Return the time until which the issuer knows whether the key was used."""
        return self.issued_ms / _MS_PER_S + REMEMBERED_S


class PrefixSigner:
    """Issue prefixes that only the same process instance accepts.

    The secret is generated at start and never leaves the process.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._secret = secrets.token_bytes(_SECRET_BYTES)

    def issue(self, service: str, now_s: float) -> str:
        """Return a prefix for keys of one service; the caller appends a nonce."""
        issued_ms = int(now_s * _MS_PER_S)
        salt = secrets.token_hex(_SALT_BYTES)
        signature = self._sign(service, issued_ms, salt)
        return f'{PREFIX_MARK}.{self._instance}.{issued_ms}.{salt}.{signature}.'

    def is_genuine(self, key: PrefixKey, service: str) -> bool:
        """Return whether this process issued the prefix for the service."""
        expected = self._sign(service, key.issued_ms, key.salt)
        return key.instance == self._instance and hmac.compare_digest(
            expected.encode(),
            key.signature.encode(),
        )

    def _sign(self, service: str, issued_ms: int, salt: str) -> str:
        text = f'{self._instance}.{issued_ms}.{salt}.{service}'
        signed = hmac.new(self._secret, text.encode(), sha256).digest()
        return signed[:_SIGNATURE_BYTES].hex()


def is_prefix_key(text: str) -> bool:
    """Return whether the key looks like one made from a prefix."""
    return text.startswith(f'{PREFIX_MARK}.')


def parse(text: str) -> PrefixKey | None:
    """Return the parts of a key made from a prefix, or None if malformed."""
    fields = text.split('.', _FIELD_COUNT - 1)
    if len(fields) != _FIELD_COUNT or len(text) > MAX_KEY_LENGTH:
        return None
    issued_ms = fields.pop(2)
    if not issued_ms.isascii() or not issued_ms.isdecimal() or not fields[-1]:
        return None
    return PrefixKey(int(issued_ms), *fields[1:])
