"""Row keys within the platform's length limit."""

import hashlib

from bluebellshore.store.interface import MAX_KEY_BYTES

__all__ = ["shorten_key"]

DIGEST_CHARACTERS = 64


def shorten_key(key: str) -> str:
    """Return `key`, or a shorter key with a digest of it if it is too long.

    Keys within the limit are kept, so that most rows can be found by a readable key.
    """
    encoded = key.encode()
    if len(encoded) <= MAX_KEY_BYTES:
        return key
    digest = hashlib.sha256(encoded).hexdigest()
    # One byte is for "~". A character whose bytes were cut is dropped.
    kept = encoded[: MAX_KEY_BYTES - DIGEST_CHARACTERS - 1].decode(errors="ignore")
    return f"{kept}~{digest}"
