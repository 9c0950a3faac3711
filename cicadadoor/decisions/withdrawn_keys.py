"""Hold a grow-only set of withdrawn keys, and compare sets by digests."""

import hashlib
from collections.abc import Iterable

BUCKETS = 256
_DIGEST_BYTES = 8
_KEY_HASH_LENGTH = 64
_HEX_DIGITS = frozenset('0123456789abcdef')
_HEX_BASE = 16


def is_key_hash(given: str) -> bool:
    """Return whether a text is a SHA-256 hash in lower-case hexadecimal."""
    return len(given) == _KEY_HASH_LENGTH and _HEX_DIGITS.issuperset(given)


def fingerprint(key_hashes: Iterable[str]) -> str:
    """Return a short digest of a set, independent of its order."""
    combined = 0
    count = 0
    for key_hash in key_hashes:
        combined ^= int(key_hash[:_HEX_BASE], _HEX_BASE)
        count += 1
    return f'{count}-{combined:x}'


class WithdrawnKeys:
    """Hold withdrawn keys, each with a flag that it is recorded in the platform.

    Keys are only added and flags only set, so sets can be merged in any order.
    """

    def __init__(self) -> None:
        self._recorded: dict[str, bool] = {}
        self._buckets = [0 for _ in range(BUCKETS)]

    def __contains__(self, key_hash: str) -> bool:
        return key_hash in self._recorded

    def __len__(self) -> int:
        return len(self._recorded)

    def add(self, key_hashes: Iterable[str], *, recorded: bool) -> list[str]:
        """Add keys and return the new ones; texts that are not hashes are ignored."""
        new: list[str] = []
        for key_hash in key_hashes:
            if not is_key_hash(key_hash):
                continue
            known = self._recorded.get(key_hash)
            if known is None:
                new.append(key_hash)
            elif known or not recorded:
                continue
            else:
                self._toggle(key_hash, recorded=False)
            self._recorded[key_hash] = recorded
            self._toggle(key_hash, recorded=recorded)
        return new

    def all_keys(self) -> list[str]:
        """Return all withdrawn keys."""
        return list(self._recorded)

    def is_recorded(self, key_hash: str) -> bool:
        """Return whether the key is known to be recorded in the platform."""
        return self._recorded.get(key_hash, False)

    def unrecorded(self) -> list[str]:
        """Return the keys that are not known to be recorded in the platform."""
        return [key for key, recorded in self._recorded.items() if not recorded]

    def digest(self) -> str:
        """Return a digest of all keys and flags."""
        joined = b''.join(self.bucket_digests())
        return hashlib.sha256(joined).hexdigest()[:_HEX_BASE]

    def bucket_digests(self) -> list[bytes]:
        """Return one digest for each bucket."""
        return [bucket.to_bytes(_DIGEST_BYTES, 'big') for bucket in self._buckets]

    def differing(self, bucket_digests: list[bytes]) -> tuple[list[str], list[str]]:
        """Return the recorded and the other keys in buckets whose digests differ."""
        own = self.bucket_digests()
        if len(bucket_digests) != BUCKETS:
            bucket_digests = [b'' for _ in range(BUCKETS)]
        differing = {
            number for number in range(BUCKETS) if own[number] != bucket_digests[number]
        }
        recorded: list[str] = []
        others: list[str] = []
        for key_hash, is_recorded in self._recorded.items():
            if _bucket(key_hash) in differing:
                (recorded if is_recorded else others).append(key_hash)
        return recorded, others

    def _toggle(self, key_hash: str, *, recorded: bool) -> None:
        seed = f'{key_hash}{recorded:d}'.encode()
        mixed = hashlib.sha256(seed).digest()[:_DIGEST_BYTES]
        self._buckets[_bucket(key_hash)] ^= int.from_bytes(mixed, 'big')


def _bucket(key_hash: str) -> int:
    return int(key_hash[:2], _HEX_BASE)
