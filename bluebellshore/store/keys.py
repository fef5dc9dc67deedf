"""Row keys within the platform's length limit."""

import hashlib

from bluebellshore.store.interface import MAX_KEY_BYTES

__all__ = ["shorten_key"]

DIGEST_CHARACTERS = 64


def shorten_key(key: str) -> str:
    """Return `key`, or if it is too long, its beginning and a digest of the whole.

    The result identifies the key as well as `key` does. Keys within the limit are kept,
    so that the rows of most keys can be recognized in a listing.
    """
    encoded = key.encode()
    if len(encoded) <= MAX_KEY_BYTES:
        return key
    digest = hashlib.sha256(encoded).hexdigest()
    # One byte is for "~". A character whose bytes were cut is dropped.
    kept = encoded[: MAX_KEY_BYTES - DIGEST_CHARACTERS - 1].decode(errors="ignore")
    return f"{kept}~{digest}"
